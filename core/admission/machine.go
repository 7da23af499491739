package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"trefoilweir.example/core/config"
)

// Machine decides what happens to the requests of one agent. It is not safe for
// concurrent use.
type Machine struct {
	limits   Limits
	params   biasParams
	classes  map[string]Class
	rng      *rand.Rand
	now      time.Duration
	start    time.Duration
	lastTick time.Duration
	started  bool
	draining bool
	// requests and pendingByToken are never iterated, because the order of a
	// map would make the actions differ between runs.
	requests       map[RequestID]*request
	pendingByToken map[uint64]*request
	// waiting is the queue: the requests without an attempt in progress, in
	// order of entry, those of peers first.
	waiting     []*request
	running     int
	connections int
	peers       peerSet
	issued      issuedGrants
	denied      []deniedReserve
	budget      budget
	meter       meter
	nextToken   uint64
	nextReport  time.Duration
	actions     []Action
}

// New returns the machine of an agent. The seed breaks ties between peers and
// sets the first token and grant ID, so that those of an earlier process at the
// same address are not mistaken for those of this process.
func New(limits Limits, peers []Peer, seed uint64) *Machine {
	m := &Machine{
		rng:            rand.New(rand.NewPCG(seed, 0x7472_6566)),
		requests:       map[RequestID]*request{},
		pendingByToken: map[uint64]*request{},
	}
	m.nextToken = m.rng.Uint64() >> 1
	m.issued.next = GrantID(m.rng.Uint64() >> 1)
	m.configure(limits, peers)
	return m
}

// Step applies one event at the time now and returns the resulting actions in
// order. A time before that of the last Step counts as that of the last Step.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = nil
	m.advance(max(now, m.now))
	m.apply(ev)
	m.assignFreeSlots()
	return m.actions
}

// Load returns the load that the agent reports.
func (m *Machine) Load() Load {
	return Load{
		Slots:       m.slots(),
		Busy:        m.running + m.issued.reservedSlots(),
		Waiting:     m.queued(),
		Connections: m.connections,
		Draining:    m.draining,
		Cold:        m.slots() < m.limits.Slots,
		Full:        m.atConnectionLimit(),
		ServiceTime: m.meter.serviceTime(),
		Utilization: m.meter.utilization,
	}
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case Arrive:
		m.arrive(ev)
	case Done:
		m.runDone(ev)
	case Cancel:
		m.cancel(ev.ID)
	case PeerMessage:
		m.peerMessage(ev.From, ev.Message)
	case PeerResult:
		m.peerResult(ev)
	case Reconfigure:
		m.configure(ev.Limits, ev.Peers)
	case Drain:
		m.drain()
	case Tick:
		m.tick()
	}
}

// advance moves the clock. If the process was paused, its knowledge of peers is
// out of date and is dropped before the next decision.
func (m *Machine) advance(now time.Duration) {
	if !m.started {
		m.started, m.start, m.lastTick, m.now = true, now, now, now
		m.nextReport = now + time.Duration(m.rng.Int64N(int64(ReportInterval)))
	}
	if now-m.lastTick > PauseGap {
		m.resume(now)
	}
	m.meter.advance(now-m.now, m.running+m.queued(), m.slots())
	m.now = now
	m.issued.expire(now)
}

func (m *Machine) resume(now time.Duration) {
	m.lastTick = now
	m.peers.resetLoads()
	m.issued.clear()
	m.denied = nil
	for _, r := range m.waiting {
		m.withdraw(r)
	}
}

func (m *Machine) configure(l Limits, peers []Peer) {
	m.limits = l.withDefaults()
	m.params = paramsFor(m.limits.Bias)
	m.classes = map[string]Class{}
	for _, c := range l.Classes {
		m.classes[c.Name] = c
	}
	m.peers.set(peers)
	for _, r := range m.waiting {
		m.withdrawRemoved(r)
	}
}

func (l Limits) withDefaults() Limits {
	l.Slots = cmp.Or(l.Slots, 1)
	l.Speed = cmp.Or(l.Speed, 1)
	l.QueuePerSlot = cmp.Or(l.QueuePerSlot, 4)
	l.HandOverPeers = cmp.Or(l.HandOverPeers, 3)
	l.RetryBudgetPercent = cmp.Or(l.RetryBudgetPercent, 10)
	l.Bias = cmp.Or(l.Bias, config.BiasBalance)
	return l
}

// drain stops local starts. It ends the waiting requests that cannot be handed
// over. Among them are those of peers, which schedule them again.
func (m *Machine) drain() {
	if m.draining {
		return
	}
	m.draining = true
	m.denied = nil
	for _, r := range m.waitingSnapshot() {
		r.deadline = min(r.deadline, m.now+drainWait)
		switch {
		case !m.peersAllowed(r):
			m.end(r, ReasonDraining)
		case r.pending == nil:
			m.schedule(r)
		}
	}
}

// slots returns the current number of slots, which rises during a cold start.
func (m *Machine) slots() int {
	ramp := m.limits.ColdStart
	age := m.now - m.start
	if ramp <= 0 || age >= ramp {
		return m.limits.Slots
	}
	return max(1, int(int64(m.limits.Slots)*int64(age)/int64(ramp)))
}

func (m *Machine) atConnectionLimit() bool {
	return m.limits.Connections > 0 && m.connections >= m.limits.Connections
}

// freeSlots returns the number of slots that are neither in use nor reserved by
// a grant. It is negative if there are more grants than idle slots.
func (m *Machine) freeSlots() int { return m.slots() - m.running - m.issued.reservedSlots() }

// queued returns the number of requests that wait for a local slot.
func (m *Machine) queued() int {
	n := 0
	for _, r := range m.waiting {
		if !r.hold {
			n++
		}
	}
	return n
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) send(p *peer, msg Message) {
	msg.Load = m.Load()
	msg.PeerLoads = m.peerLoads(p)
	m.emit(Send{To: p.ID, Message: msg})
}
