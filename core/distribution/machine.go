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
	actions          []Action

	current config.Head
	ready   bool
	// unanswered holds the questions of the start-up phase without an answer.
	unanswered    map[Source]bool
	startDeadline time.Duration
	lastTick      time.Duration
	started       bool

	vms []config.VM
	// haveVMs says that a list of VMs has arrived. It may be empty.
	haveVMs  bool
	position Position
	// parentIndex is the index of the parentIndex that is polled.
	parentIndex int

	pollID     uint64
	polling    bool
	pollFrom   Source
	pollSince  time.Duration
	nextPoll   time.Duration
	lastPollOK time.Duration
	pollFails  int
	// emptyPolls counts polls in a row that brought nothing new at once.
	emptyPolls        int
	nextOrphanQuery   time.Duration
	nextPlatformQuery time.Duration
	nextExchange      time.Duration

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
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
		unanswered: map[Source]bool{},
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
func (m *Machine) Position() Position { return m.position }

// Step takes one event and returns what to do. The result is valid until the
// next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
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
		delete(m.unanswered, ev.From)
		m.recordHead(ev.From, ev.Head)
	case QueryFailed:
		delete(m.unanswered, ev.From)
	case PeerQueried:
		m.recordHead(ev.From, ev.Head)
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
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// detectPause refreshes the view of a process that did not run for a while.
// Its configuration is never lower than it was, but others may have a higher
// one.
func (m *Machine) detectPause(now time.Duration, ev Event) {
	if _, tick := ev.(Tick); !tick || !m.started {
		return
	}
	gap := now - m.lastTick
	m.lastTick = now
	if gap <= PauseGap {
		return
	}
	m.emit(Alarm{Kind: AlarmPaused, Head: m.current})
	m.polling, m.nextPoll = false, now
	m.queryPeers(StartPeers)
	m.scheduleExchange(now)
}

func (m *Machine) start(now time.Duration) {
	m.started, m.lastTick, m.lastPollOK = true, now, now
	m.startDeadline = now + StartWait
	m.queryPlatform(now)
	m.scheduleExchange(now)
}

func (m *Machine) queryPlatform(now time.Duration) {
	m.nextPlatformQuery = now + StartWait
	m.query(Platform)
}

func (m *Machine) query(to Source) {
	if !m.ready {
		m.unanswered[to] = true
	}
	m.emit(Query{To: to, Have: m.current})
}

func (m *Machine) vmList(now time.Duration, vms []config.VM) {
	first := !m.haveVMs
	m.vms, m.haveVMs = vms, true
	before := m.pollSource()
	m.position = PositionOf(vms, m.self, m.dataCentre)
	m.parentIndex = 0
	if first && !m.ready {
		m.startDeadline = now + StartWait
		m.queryPeers(StartPeers)
	}
	if m.polling && m.pollSource() != before {
		m.polling, m.nextPoll = false, now
	}
}

// queryPeers asks n different peers, or all if there are fewer.
func (m *Machine) queryPeers(n int) {
	peers := m.randomPeers(n)
	for _, p := range peers {
		m.query(p)
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
	answered := len(m.unanswered) == 0 && m.haveVMs && !m.fetching && len(m.candidates) == 0
	if answered || now >= m.startDeadline {
		m.ready = true
		m.emit(Ready{})
	}
}

// have returns what a poll need not report: the highest head that is in force
// or being fetched.
func (m *Machine) have() config.Head {
	have := m.current
	if m.fetching && config.Less(have, m.fetch.head) {
		have = m.fetch.head
	}
	return have
}

func (m *Machine) scheduleExchange(now time.Duration) {
	// The first exchanges of processes that start together are spread out.
	const jitter = ExchangeEvery / 10
	m.nextExchange = now + ExchangeEvery - jitter/2 + time.Duration(m.random.Int64N(int64(jitter)))
}

func (m *Machine) tick(now time.Duration) {
	if now >= m.nextExchange {
		m.scheduleExchange(now)
		m.queryPeers(1)
	}
	// Without a list of VMs there is nobody to poll, also if a peer gave the
	// configuration or the platform gave all but the list.
	if (!m.ready || !m.haveVMs) && now >= m.nextPlatformQuery {
		m.queryPlatform(now)
		// Peers may have started since.
		m.queryPeers(StartPeers)
	}
	m.checkOrphan(now)
}

// checkOrphan asks the platform if no parent has answered for a while. This
// repairs a list of VMs that names only dead readers.
func (m *Machine) checkOrphan(now time.Duration) {
	if m.position.Reader || m.pollFails == 0 || now-m.lastPollOK < orphanTimeout || now < m.nextOrphanQuery {
		return
	}
	period := max(orphanTimeout, time.Duration(len(m.vms))*orphanIntervalPerVM)
	m.nextOrphanQuery = now + period/2 + time.Duration(m.random.Int64N(int64(period)))
	m.emit(Alarm{Kind: AlarmOrphan, Head: m.current})
	m.query(Platform)
}
