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
	from Origin
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	self, dataCentre string
	random           *rand.Rand
	out              []Action

	current config.Head
	ready   bool
	// asked holds the questions of the start-up phase without an answer.
	asked       map[Origin]bool
	startBefore time.Duration
	last        time.Duration
	started     bool

	vms []config.VM
	// listed says that a list of VMs has arrived. It may be empty.
	listed bool
	place  Place
	// parent is the index of the parent that is polled.
	parent int

	pollID    uint64
	polling   bool
	pollFrom  Origin
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
		asked:  map[Origin]bool{},
		// A process with a configuration went through its start-up phase.
		current: o.Current,
		ready:   !o.Current.IsZero(),
	}
}

// Current returns the head in force. It is zero before the first Adopt.
func (m *Machine) Current() config.Head { return m.current }

// Ready reports whether the start-up phase is over.
func (m *Machine) Ready() bool { return m.ready }

// Place returns the place in the tree.
func (m *Machine) Place() Place { return m.place }

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
	case Asked:
		delete(m.asked, ev.From)
		m.seen(ev.From, ev.Head)
	case AskFailed:
		delete(m.asked, ev.From)
	case Told:
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

func (m *Machine) ask(of Origin) {
	if !m.ready {
		m.asked[of] = true
	}
	m.emit(Ask{Of: of, Have: m.current})
}

func (m *Machine) vmList(now time.Duration, vms []config.VM) {
	first := !m.listed
	m.vms, m.listed = vms, true
	before := m.pollOrigin()
	m.place = PlaceOf(vms, m.self, m.dataCentre)
	m.parent = 0
	if first && !m.ready {
		m.startBefore = now + StartWait
		m.askPeers(StartPeers)
	}
	if m.polling && m.pollOrigin() != before {
		m.polling, m.pollAfter = false, now
	}
}

// pollOrigin returns whom to poll.
func (m *Machine) pollOrigin() Origin {
	if len(m.place.Parents) == 0 {
		return Platform
	}
	return m.place.Parents[m.parent%len(m.place.Parents)]
}

// askPeers asks n different peers, or all if there are fewer.
func (m *Machine) askPeers(n int) {
	peers := m.randomPeers(n)
	for _, p := range peers {
		m.ask(p)
	}
}

// randomPeers returns up to n different live VMs other than this one.
func (m *Machine) randomPeers(n int) []Origin {
	var out []Origin
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
				out = append(out, Origin(m.vms[i].Name))
			}
		}
		return out
	}
	for range short {
		if i := m.random.IntN(len(m.vms)); len(out) < n && m.eligible(i, out) {
			out = append(out, Origin(m.vms[i].Name))
		}
	}
	return out
}

func (m *Machine) eligible(i int, chosen []Origin) bool {
	vm := &m.vms[i]
	return vm.Name != m.self && vm.State != config.VMLeaving && !slices.Contains(chosen, Origin(vm.Name))
}

// seen notes a head that an origin has.
func (m *Machine) seen(from Origin, head config.Head) {
	m.checkConflict(from, head)
	if from == Platform && !head.IsZero() && config.Less(head, m.current) {
		m.emit(Alarm{Kind: AlarmStale, From: from, Head: head})
	}
	if !config.Less(m.current, head) || slices.Contains(m.rejected, head) {
		return
	}
	s := candidate{head, from}
	if slices.Contains(m.candidates, s) || (m.fetching && m.fetch == s) {
		return
	}
	m.candidates = append(m.candidates, s)
	if len(m.candidates) > maxCandidates {
		m.dropLowest()
	}
}

func (m *Machine) dropLowest() {
	lowest := 0
	for i, s := range m.candidates {
		if config.Less(s.head, m.candidates[lowest].head) {
			lowest = i
		}
	}
	m.candidates = slices.Delete(m.candidates, lowest, lowest+1)
}

// checkConflict reports a second content of one version, once per content.
func (m *Machine) checkConflict(from Origin, head config.Head) {
	if head.IsZero() || head.Version != m.current.Version || head == m.current || slices.Contains(m.conflicts, head) {
		return
	}
	m.conflicts = appendBounded(m.conflicts, head)
	m.emit(Alarm{Kind: AlarmConflict, From: from, Head: head})
}

func appendBounded(heads []config.Head, head config.Head) []config.Head {
	if len(heads) == maxRejected {
		heads = slices.Delete(heads, 0, 1)
	}
	return append(heads, head)
}

// startFetch fetches the highest head that was seen. A peer is preferred to
// the platform, whose calls are limited.
func (m *Machine) startFetch(now time.Duration) {
	m.candidates = slices.DeleteFunc(m.candidates, func(s candidate) bool {
		return !config.Less(m.current, s.head) || slices.Contains(m.rejected, s.head)
	})
	if m.fetching || len(m.candidates) == 0 {
		return
	}
	best := m.candidates[0]
	for _, s := range m.candidates[1:] {
		if c := config.Compare(s.head, best.head); c > 0 || (c == 0 && best.from == Platform) {
			best = s
		}
	}
	if best.from == Platform && m.waitsForPeers(now) {
		return
	}
	m.fetching, m.fetch = true, best
	m.emit(Fetch{From: best.from, Head: best.head})
}

// waitsForPeers reports whether a starting process leaves the parts to a
// peer. When a whole fleet starts, the readers fetch from the platform and
// the others from them.
func (m *Machine) waitsForPeers(now time.Duration) bool {
	return !m.ready && !m.place.Reader && now < m.startBefore
}

func (m *Machine) endFetch(from Origin, head config.Head) {
	m.candidates = slices.DeleteFunc(m.candidates, func(s candidate) bool { return s == candidate{head, from} || s == m.fetch })
	m.fetching = false
}

func (m *Machine) fetched(ev Fetched) {
	m.endFetch(ev.From, ev.Head)
	m.checkConflict(ev.From, ev.Head)
	if !config.Less(m.current, ev.Head) {
		return
	}
	m.current = ev.Head
	m.emit(Adopt{Head: ev.Head})
}

func (m *Machine) fetchFailed(now time.Duration, ev FetchFailed) {
	m.endFetch(ev.From, ev.Head)
	// The poll was told not to report this head again.
	if m.polling && m.pollFrom == ev.From {
		m.polling, m.pollAfter = false, now+m.backoff()
	}
}

func (m *Machine) invalid(ev Invalid) {
	m.endFetch(ev.From, ev.Head)
	if !slices.Contains(m.rejected, ev.Head) {
		m.rejected = appendBounded(m.rejected, ev.Head)
		m.emit(Alarm{Kind: AlarmInvalid, From: ev.From, Head: ev.Head})
	}
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
	if m.fetching && config.Less(have, m.fetch.head) {
		have = m.fetch.head
	}
	return have
}

func (m *Machine) startPoll(now time.Duration) {
	if !m.started || m.polling || now < m.pollAfter || !m.listed {
		return
	}
	m.pollID++
	m.polling, m.pollFrom, m.pollSince = true, m.pollOrigin(), now
	m.emit(Poll{ID: m.pollID, From: m.pollFrom, Have: m.have()})
}

func (m *Machine) polled(now time.Duration, ev Polled) {
	m.seen(ev.From, ev.Head)
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling, m.pollOK, m.pollFails, m.pollAfter = false, now, 0, now
	if config.Less(m.have(), ev.Head) || now-m.pollSince >= minPoll {
		m.emptyPolls = 0
		return
	}
	if m.emptyPolls++; m.emptyPolls > freePolls {
		m.pollAfter = now + minPoll
	}
}

func (m *Machine) pollFailed(now time.Duration, ev PollFailed) {
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling = false
	m.parent++
	m.pollFails++
	m.pollAfter = now
	// The second parent is tried at once. After both, random peers show
	// whether there is a change, without waiting for the next exchange.
	if m.place.Reader || m.pollFails%2 == 0 {
		m.pollAfter = now + m.backoff()
		m.askPeers(2)
	}
}

// backoff doubles with each failure, with a jitter of one half, so that the
// children of a failed parent do not return together.
func (m *Machine) backoff() time.Duration {
	d := min(minBackoff<<min(m.pollFails, 10), maxBackoff)
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
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
