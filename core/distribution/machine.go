package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoilweir.example/core/config"
)

// Options of a Machine.
type Options struct {
	// Self is the name of the process's VM, DataCentre that of its data centre.
	Self, DataCentre string
	// Seed makes processes choose different peers.
	Seed uint64
	// Current is the head of the configuration in use, if the process has one
	// already and only the Machine is new.
	Current config.Head
}

// candidate is a head that may be fetched, and a source that has it.
type candidate struct {
	head config.Head
	from Source
}

// Machine is the state machine of one process. It is not safe for concurrent
// use.
type Machine struct {
	self, dataCentre string
	random           *rand.Rand
	actions          []Action

	current config.Head
	ready   bool
	// unanswered holds the destinations of start-up queries without an answer.
	unanswered    map[Source]bool
	startDeadline time.Duration
	lastTick      time.Duration
	started       bool

	vms []config.VM
	// haveVMs reports that a list of VMs has arrived. The list may be empty.
	haveVMs  bool
	position Position
	// parentIndex, modulo the number of parents, selects the parent to poll.
	parentIndex int

	pollID     uint64
	polling    bool
	pollFrom   Source
	pollSince  time.Duration
	nextPoll   time.Duration
	lastPollOK time.Duration
	pollFails  int
	// emptyPolls counts polls in a row that were answered within
	// minPollInterval with nothing new.
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

// New returns a Machine. Its first event must be Start.
func New(o Options) *Machine {
	return &Machine{
		self: o.Self, dataCentre: o.DataCentre,
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
		unanswered: map[Source]bool{},
		// A process with a configuration has ended its start-up phase.
		current: o.Current,
		ready:   !o.Current.IsZero(),
	}
}

// Current returns the current head. Without Options.Current, it is zero before
// the first Adopt.
func (m *Machine) Current() config.Head { return m.current }

// Ready reports whether the start-up phase is over.
func (m *Machine) Ready() bool { return m.ready }

// Position returns the position in the tree.
func (m *Machine) Position() Position { return m.position }

// Step processes an event and returns the resulting actions. The result is valid
// until the next call.
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

// detectPause restarts the poll and queries peers after a pause of the process,
// because others may have adopted a higher head since.
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

// queryPeers queries up to n different peers.
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
	// A walk from a random index, in steps coprime to most list lengths, would
	// favour neighbours. Independent draws do not. A short list is shuffled
	// instead, because draws from it would often repeat.
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

// checkReady ends the start-up phase, once the process has a configuration, when
// all queries have ended and no higher head is left to fetch, or at
// startDeadline.
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

// have returns the higher of the current head and the one being fetched. A Poll
// asks only for heads above it.
func (m *Machine) have() config.Head {
	have := m.current
	if m.fetching && config.HeadLess(have, m.fetch.head) {
		have = m.fetch.head
	}
	return have
}

func (m *Machine) scheduleExchange(now time.Duration) {
	// The jitter spreads the exchanges of processes that start together.
	const jitter = ExchangeEvery / 10
	m.nextExchange = now + ExchangeEvery - jitter/2 + time.Duration(m.random.Int64N(int64(jitter)))
}

func (m *Machine) tick(now time.Duration) {
	if now >= m.nextExchange {
		m.scheduleExchange(now)
		m.queryPeers(1)
	}
	// A process may be ready without a list of VMs, if a peer sent the
	// configuration or the platform sent everything except the list. It then
	// has nobody to poll.
	if (!m.ready || !m.haveVMs) && now >= m.nextPlatformQuery {
		m.queryPlatform(now)
		// Peers may have started since the last queries.
		m.queryPeers(StartPeers)
	}
	m.checkOrphan(now)
}

// checkOrphan queries the platform if no parent has answered for orphanTimeout.
// This replaces a list of VMs in which all readers are dead.
func (m *Machine) checkOrphan(now time.Duration) {
	if m.position.Reader || m.pollFails == 0 || now-m.lastPollOK < orphanTimeout || now < m.nextOrphanQuery {
		return
	}
	period := max(orphanTimeout, time.Duration(len(m.vms))*orphanIntervalPerVM)
	m.nextOrphanQuery = now + period/2 + time.Duration(m.random.Int64N(int64(period)))
	m.emit(Alarm{Kind: AlarmOrphan, Head: m.current})
	m.query(Platform)
}
