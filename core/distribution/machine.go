package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoilweir.example/core/config"
)

// Options of a Machine.
type Options struct {
	// Self and DataCentre are the name of the process and its place.
	Self, DataCentre string
	// Seed makes the choice of peers differ between processes.
	Seed uint64
	// Current is the head in force, if the process follows configurations
	// already and only its Machine is new.
	Current config.Head
}

// candidate is a head above the current one, and where it was seen.
type candidate struct {
	head config.Head
	from Source
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	self, dataCentre string
	random           *rand.Rand
	out              []Action

	current config.Head
	ready   bool
	// asked holds the questions of the start-up phase without an answer.
	asked       map[Source]bool
	startBefore time.Duration
	last        time.Duration
	started     bool

	vms []config.VM
	// listed says that a list of VMs has arrived. It may be empty.
	listed bool
	place  Position
	// parent is the index of the parent that is polled.
	parent int

	pollID    uint64
	polling   bool
	pollFrom  Source
	pollSince time.Duration
	pollAfter time.Duration
	pollOK    time.Duration
	pollFails int
	// emptyPolls counts polls in a row that brought nothing new at once.
	emptyPolls  int
	nextOrphan  time.Duration
	nextAsk     time.Duration
	nextVersion time.Duration

	fetching   bool
	fetch      candidate
	candidates []candidate
	rejected   []config.Head
	conflicts  []config.Head
}

// New returns a Machine without a configuration.
func New(o Options) *Machine {
	return &Machine{
		self: o.Self, dataCentre: o.DataCentre,
		random: rand.New(rand.NewPCG(o.Seed, 0)),
		asked:  map[Source]bool{},
		// A process with a configuration went through its start-up phase.
		current: o.Current,
		ready:   !o.Current.IsZero(),
	}
}

// Current returns the head in force. It is zero before the first Adopt.
func (m *Machine) Current() config.Head { return m.current }

// Ready reports whether the start-up phase is over.
func (m *Machine) Ready() bool { return m.ready }

// Position returns the place in the tree.
func (m *Machine) Position() Position { return m.place }

// Step takes one event and returns what to do. The result is valid until the
// next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.out = m.out[:0]
	m.detectPause(now, ev)
	switch ev := ev.(type) {
	case Start:
		m.start(now)
	case VMList:
		m.vmList(now, ev.VMs)
	case Polled:
		m.polled(now, ev)
	case PollFailed:
		m.pollFailed(now, ev)
	case QueryAnswered:
		delete(m.asked, ev.From)
		m.seen(ev.From, ev.Head)
	case QueryFailed:
		delete(m.asked, ev.From)
	case PeerQueried:
		m.seen(ev.From, ev.Head)
	case Fetched:
		m.fetched(ev)
	case FetchFailed:
		m.fetchFailed(now, ev)
	case Invalid:
		m.invalid(ev)
	case Tick:
		m.tick(now)
	}
	m.startFetch(now)
	m.checkReady(now)
	m.startPoll(now)
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// detectPause refreshes the view of a process that did not run for a while.
// Its configuration is never lower than it was, but others may have a higher
// one.
func (m *Machine) detectPause(now time.Duration, ev Event) {
	if _, tick := ev.(Tick); !tick || !m.started {
		return
	}
	gap := now - m.last
	m.last = now
	if gap <= PauseGap {
		return
	}
	m.emit(Alarm{Kind: AlarmPaused, Head: m.current})
	m.polling, m.pollAfter = false, now
	m.askPeers(StartPeers)
	m.scheduleExchange(now)
}

func (m *Machine) start(now time.Duration) {
	m.started, m.last, m.pollOK = true, now, now
	m.startBefore = now + StartWait
	m.askPlatform(now)
	m.scheduleExchange(now)
}

func (m *Machine) askPlatform(now time.Duration) {
	m.nextAsk = now + StartWait
	m.ask(Platform)
}

func (m *Machine) ask(of Source) {
	if !m.ready {
		m.asked[of] = true
	}
	m.emit(Query{To: of, Have: m.current})
}

func (m *Machine) vmList(now time.Duration, vms []config.VM) {
	first := !m.listed
	m.vms, m.listed = vms, true
	before := m.pollOrigin()
	m.place = PositionOf(vms, m.self, m.dataCentre)
	m.parent = 0
	if first && !m.ready {
		m.startBefore = now + StartWait
		m.askPeers(StartPeers)
	}
	if m.polling && m.pollOrigin() != before {
		m.polling, m.pollAfter = false, now
	}
}

// askPeers asks n different peers, or all if there are fewer.
func (m *Machine) askPeers(n int) {
	peers := m.randomPeers(n)
	for _, p := range peers {
		m.ask(p)
	}
}

// randomPeers returns up to n different live VMs other than this one.
func (m *Machine) randomPeers(n int) []Source {
	var out []Source
	if len(m.vms) == 0 {
		return nil
	}
	// A walk from a random place in steps that are coprime to most lengths
	// would favour neighbours; independent draws do not. Short lists are
	// shuffled, because draws would repeat.
	const short = 64
	if len(m.vms) <= short {
		for _, i := range m.random.Perm(len(m.vms)) {
			if len(out) < n && m.eligible(i, out) {
				out = append(out, Source(m.vms[i].Name))
			}
		}
		return out
	}
	for range short {
		if i := m.random.IntN(len(m.vms)); len(out) < n && m.eligible(i, out) {
			out = append(out, Source(m.vms[i].Name))
		}
	}
	return out
}

func (m *Machine) eligible(i int, chosen []Source) bool {
	vm := &m.vms[i]
	return vm.Name != m.self && vm.State != config.VMLeaving && !slices.Contains(chosen, Source(vm.Name))
}

// checkReady ends the start-up phase when the highest configuration of those
// asked is in force, or when waiting longer would not help.
func (m *Machine) checkReady(now time.Duration) {
	if m.ready || m.current.IsZero() {
		return
	}
	answered := len(m.asked) == 0 && m.listed && !m.fetching && len(m.candidates) == 0
	if answered || now >= m.startBefore {
		m.ready = true
		m.emit(Ready{})
	}
}

// have returns what a poll need not report: the highest head that is in force
// or being fetched.
func (m *Machine) have() config.Head {
	have := m.current
	if m.fetching && config.HeadLess(have, m.fetch.head) {
		have = m.fetch.head
	}
	return have
}

func (m *Machine) scheduleExchange(now time.Duration) {
	// The first exchanges of processes that start together are spread out.
	const jitter = ExchangeEvery / 10
	m.nextVersion = now + ExchangeEvery - jitter/2 + time.Duration(m.random.Int64N(int64(jitter)))
}

func (m *Machine) tick(now time.Duration) {
	if now >= m.nextVersion {
		m.scheduleExchange(now)
		m.askPeers(1)
	}
	// Without a list of VMs there is nobody to poll, also if a peer gave the
	// configuration or the platform gave all but the list.
	if (!m.ready || !m.listed) && now >= m.nextAsk {
		m.askPlatform(now)
		// Peers may have started since.
		m.askPeers(StartPeers)
	}
	m.checkOrphan(now)
}

// checkOrphan asks the platform if no parent has answered for a while. This
// repairs a list of VMs that names only dead readers.
func (m *Machine) checkOrphan(now time.Duration) {
	if m.place.Reader || m.pollFails == 0 || now-m.pollOK < orphanAfter || now < m.nextOrphan {
		return
	}
	period := max(orphanAfter, time.Duration(len(m.vms))*orphanPerVM)
	m.nextOrphan = now + period/2 + time.Duration(m.random.Int64N(int64(period)))
	m.emit(Alarm{Kind: AlarmOrphan, Head: m.current})
	m.ask(Platform)
}
