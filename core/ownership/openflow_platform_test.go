package ownership_test

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/relay"
)

// Intervals with which views spread, as in node/fleetsync and node/packetplane.
const (
	parentInterval      = 400 * ms
	childNotifyInterval = 500 * ms
	childTimeout        = 1300 * ms
	childRetention      = 30 * time.Second
	batchDelay          = 150 * ms
	standbyDelay        = 700 * ms
	idleCheckInterval   = 100 * ms
	watchPoll           = 40 * ms
)

// Targets write their entry at this interval. The entry lapses after three.
const (
	entryInterval = 700 * ms
	entryLease    = 3 * entryInterval
)

// platform is the store of entries and routes.
type platform struct {
	w *world
	// log holds the changes after the revision compacted.
	log                 []fleet.Change
	revision, compacted uint64
	entries             map[string]*storedEntry
	// versions holds the versions of the routes, configRevisions their revisions.
	versions                       []*fleet.Config
	configRevisions                []uint64
	downUntil, slowUntil, lapsesAt time.Duration
}

type storedEntry struct {
	target    fleet.Target
	revision  uint64
	expiresAt time.Duration
}

func (s *platform) down() bool { return s.w.now < s.downUntil }

// write stores the state of a target. Only a change gets a revision.
func (s *platform) write(t fleet.Target) {
	e := s.entries[t.ID]
	if e == nil || e.target != t {
		s.revision++
		e = &storedEntry{target: t, revision: s.revision}
		s.entries[t.ID] = e
		s.log = append(s.log, fleet.Change{ID: t.ID, Revision: s.revision, Target: &t})
	}
	e.expiresAt = s.w.now + entryLease
}

func (s *platform) remove(id string) {
	if s.entries[id] == nil {
		return
	}
	s.revision++
	delete(s.entries, id)
	s.log = append(s.log, fleet.Change{ID: id, Revision: s.revision})
}

// expire removes the entries whose lease has ended. In some outages leases do not
// end.
func (s *platform) expire() {
	s.w.after(100*ms, s.expire)
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		switch e := s.entries[id]; {
		case s.w.now < e.expiresAt:
		case s.down() && s.w.now < s.lapsesAt:
			e.expiresAt = s.downUntil + entryLease
		default:
			s.remove(id)
		}
	}
}

func (s *platform) compact() {
	s.compacted, s.log = s.revision, nil
}

func (s *platform) configure(c fleet.Config) {
	s.revision++
	s.versions, s.configRevisions = append(s.versions, &c), append(s.configRevisions, s.revision)
}

// read returns the changes after a revision, or a listing.
func (s *platform) read(after uint64) *fleet.Delta {
	d := &fleet.Delta{Revision: s.revision, Full: after == 0 || after < s.compacted}
	var versions fleet.Versions
	for i, c := range s.versions {
		if after < s.configRevisions[i] && (!d.Full || i == len(s.versions)-1) {
			versions.Add(c, s.configRevisions[i])
		}
	}
	versions.AddTo(d)
	if !d.Full {
		d.WatchedAfter = after
		i, _ := slices.BinarySearchFunc(s.log, after+1, func(c fleet.Change, r uint64) int { return int(int64(c.Revision) - int64(r)) })
		d.Changes = slices.Clone(s.log[i:])
		return d
	}
	d.ListingRevision = s.revision
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		t := s.entries[id].target
		d.Changes = append(d.Changes, fleet.Change{ID: id, Revision: s.entries[id].revision, Target: &t})
	}
	return d
}

// syncState is how a process keeps its view up to date.
type syncState struct {
	// cursor is the revision from which the next read continues. reading and
	// fetching say that a read of the platform or of a peer is in progress.
	cursor            uint64
	reading, fetching bool
	askingRemovals    bool
	// removalAnswers counts the attempts to learn removals that had an answer, or
	// after a gap those in which no peer knew more.
	removalAnswers int
	// removalsAsked has the agents that were asked for removals.
	removalsAsked map[netip.Addr]int
	// senders has the processes from which datagrams came while the removals were not
	// known.
	senders                    []netip.Addr
	adoptsSettled, firstStart  bool
	lastSenderPull             time.Duration
	sendersAsked, oldestSender int
	failed                     bool
	refusedUntil               time.Duration
	parentIndex                int
	// children maps the processes that asked for the age of the view to the time
	// of the last request.
	children map[netip.Addr]time.Duration
	pause    time.Duration
}

func (p *process) position() fleet.Position {
	return p.view.Position(nil, fleet.Member{VM: p.ip, DataCentre: p.dataCentre})
}

// readPlatform reads the platform if the process is a reader, has no view, or has
// an old one.
func (p *process) readPlatform(now time.Duration) time.Duration {
	w, s := p.w, &p.sync
	position := p.position()
	if s.reading || p.view.Usable() && !position.Reader && p.view.Age(now) < position.TakeoverAge {
		return min(idleCheckInterval, watchPoll)
	}
	if pause := s.pause; pause > 0 {
		s.pause = 0
		return pause
	}
	s.reading = true
	if p.view.Usable() {
		s.cursor = max(s.cursor, p.view.CompleteTo(now).Revision)
	}
	incarnation, cursor := p.incarnation, s.cursor
	latency := w.between(2*ms, 8*ms)
	if w.now < w.platform.slowUntil {
		latency = w.between(50*ms, 1500*ms)
	}
	w.after(latency/2, func() {
		failed := w.platform.down() || w.now < s.refusedUntil
		var d *fleet.Delta
		if !failed {
			d = w.platform.read(cursor)
		}
		w.after(latency/2, func() {
			if p.incarnation == incarnation {
				p.step(func(now time.Duration) { p.endRead(now, d, latency) })
			}
		})
	})
	return watchPoll
}

func (p *process) endRead(now time.Duration, d *fleet.Delta, latency time.Duration) {
	s := &p.sync
	s.reading = false
	if d == nil {
		p.view.RecordDisturbance(now)
		s.failed, s.pause = true, p.w.between(150*ms, 600*ms)
		return
	}
	if s.failed || latency > 250*ms {
		p.view.RecordDisturbance(now)
	}
	s.failed, s.cursor = false, d.Revision
	d.ConfirmedMS = latency.Milliseconds()
	d.Revision = max(d.Revision, p.view.Revision())
	if p.apply(now, d) {
		s.pause = batchDelay
		if p.position().Standby {
			s.pause = standbyDelay
		}
	}
}

// apply applies a delta, and tells the children of a change.
func (p *process) apply(now time.Duration, d *fleet.Delta) bool {
	targets, config := p.view.Apply(now, d)
	if !targets && !config {
		return false
	}
	if p.balancer != nil {
		p.balancer.ViewChanged(now, &p.out)
	}
	for _, child := range slices.SortedFunc(maps.Keys(p.sync.children), netip.Addr.Compare) {
		if now-p.sync.children[child] <= childTimeout {
			p.out.Send(child, p.heartbeat(now, 0))
		}
	}
	return true
}

func (p *process) askParent(now time.Duration) time.Duration {
	if parents := p.position().Parents; len(parents) > 0 {
		p.sync.parentIndex++
		p.out.Send(parents[p.sync.parentIndex%len(parents)], p.heartbeat(now, relay.FlagReplyRequested))
	}
	return parentInterval
}

// notifySilentChildren tells processes that may have restarted of the view.
func (p *process) notifySilentChildren(now time.Duration) time.Duration {
	for _, child := range slices.SortedFunc(maps.Keys(p.sync.children), netip.Addr.Compare) {
		silence := now - p.sync.children[child]
		if p.view.Usable() && silence > childTimeout && silence < childRetention {
			p.out.Send(child, p.heartbeat(now, 0))
		}
	}
	return childNotifyInterval
}

// handleHeartbeat confirms the view, or fetches the newer view of the sender.
func (p *process) handleHeartbeat(now time.Duration, from netip.Addr, m *relay.Message) {
	if m.Load.Flags&relay.FlagReplyRequested != 0 {
		if p.sync.children == nil {
			p.sync.children = map[netip.Addr]time.Duration{}
		}
		p.sync.children[from] = now
		p.out.Send(from, p.heartbeat(now, 0))
	}
	if !m.Progress.AheadOf(p.view.Progress()) {
		p.view.Confirm(now, m.Age, m.Progress)
		return
	}
	if peer := p.w.processes[from]; p.mayFetchFrom(now, peer, m.Progress) {
		p.fetch(peer)
	}
}

func (p *process) mayFetchFrom(now time.Duration, peer *process, progress fleet.Progress) bool {
	position := p.position()
	near := peer.dataCentre == p.dataCentre || slices.Contains(position.Parents, peer.ip)
	return near || !progress.LaterThan(p.view.Progress()) || !p.view.Usable() || p.view.Age(now) > position.TakeoverAge-200*ms
}

func (p *process) fetch(peer *process) {
	w := p.w
	if p.sync.fetching {
		return
	}
	p.sync.fetching = true
	after, age, toleratesGap := fleet.Progress{}, p.view.Age(p.now()), p.view.ToleratesGap(p.now())
	if p.view.Usable() {
		after = p.view.Progress()
	}
	incarnation := p.incarnation
	low, high := ms, 4*ms
	if peer.dataCentre != p.dataCentre {
		low, high = 8*ms, 20*ms
	}
	w.after(w.between(low, high), func() {
		var d *fleet.Delta
		if peer.up && w.now >= peer.frozenUntil && peer.view.Usable() {
			if delta := peer.view.Since(peer.now(), after); toleratesGap || !peer.view.LeavesGap(peer.now(), &delta, age) {
				d = &delta
			}
		}
		w.after(w.between(low, high), func() {
			if p.incarnation != incarnation {
				return
			}
			p.sync.fetching = false
			if d != nil {
				p.step(func(now time.Duration) { p.apply(now, d) })
			}
		})
	})
}

// Parameters with which a process learns of removals, as in node/fleetsync.
const (
	removalPeers          = 2
	removalAttempts       = 3
	gapAttempts           = 10
	minSettleTime         = 250 * ms
	maxRemovalsWait       = 10 * time.Second
	maxSenders            = 4
	senderPullDelay       = 250 * ms
	senderPullInterval    = 100 * ms
	startSpread           = time.Second
	removalsRetryInterval = 60 * ms
	gapRetryInterval      = 200 * ms
)

// learnRemovals asks peers which entries were removed before the process
// started, once it has a view.
func (p *process) learnRemovals(now time.Duration) time.Duration {
	s := &p.sync
	if !p.view.Usable() || s.askingRemovals || p.view.RemovalsKnown(now) {
		return removalsRetryInterval
	}
	others := slices.DeleteFunc(slices.Clone(p.view.Agents()), func(a netip.Addr) bool { return a == p.ip })
	p.w.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b netip.Addr) int { return s.removalsAsked[a] - s.removalsAsked[b] })
	isFar := func(a netip.Addr) bool { return p.w.processes[a].dataCentre != p.dataCentre }
	near := slices.DeleteFunc(slices.Clone(others), isFar)
	far := slices.DeleteFunc(slices.Clone(others), func(a netip.Addr) bool { return !isFar(a) })
	far = far[:min(len(far), max(1, removalPeers-len(near)))]
	peers := slices.Concat(near[:min(len(near), removalPeers-min(1, len(far)))], far)
	if s.removalsAsked == nil {
		s.removalsAsked = map[netip.Addr]int{}
	}
	for _, a := range peers {
		s.removalsAsked[a] = 1
	}
	s.askingRemovals = true
	own, gap := p.view.HistoryGap(now)
	a := removalAttempt{alone: len(peers) == 0 && len(s.senders) == 0 && !p.view.ExpectsTargets(now), asked: len(peers), needed: 1, gap: gap, own: now, disturbed: p.view.RecentlyDisturbed(now)}
	if gap {
		a.needed, a.own = len(peers), own
	}
	if n := len(s.senders); n > 0 {
		a.sender = s.senders[s.sendersAsked%n]
		s.sendersAsked++
		peers = append(slices.Clone(peers), a.sender)
	}
	p.askForRemovals(peers, a)
	if gap {
		return gapRetryInterval
	}
	return removalsRetryInterval
}

// watchGap makes a reader read the changes in a gap of its history.
func (p *process) watchGap() {
	w, incarnation, from := p.w, p.incarnation, p.view.CompleteTo(p.now())
	if !p.position().Reader || from == p.view.Progress() {
		return
	}
	w.after(w.between(ms, 4*ms), func() {
		if w.platform.down() || from.Revision < w.platform.compacted {
			return
		}
		d := w.platform.read(from.Revision)
		w.after(w.between(ms, 4*ms), func() {
			if p.incarnation == incarnation {
				p.step(func(now time.Duration) {
					d.Revision = max(d.Revision, p.view.Revision())
					p.apply(now, d)
				})
			}
		})
	})
}

// removalAttempt is one attempt to learn removals. It counts if the process is
// alone, or if as many peers as needed have answered and none that has not settled
// knew the removals for much longer than this process, which knows them for the time
// own.
type removalAttempt struct {
	alone, disturbed bool
	gap              bool
	// sender is asked last. What it does not know counts for nothing.
	sender                 netip.Addr
	asked, needed, answers int
	own, longest           time.Duration
}

func (a removalAttempt) counts() bool {
	return a.alone || a.answers >= a.needed && a.longest <= a.own+startSpread && !a.disturbed
}

// noteSender records the sender of a datagram, as in node/fleetsync.
func (p *process) noteSender(from netip.Addr) {
	if p.view.RemovalsKnown(p.now()) {
		return
	}
	s := &p.sync
	switch {
	case slices.Contains(s.senders, from):
	case len(s.senders) < maxSenders:
		s.senders = append(s.senders, from)
	default:
		s.senders[s.oldestSender] = from
		s.oldestSender = (s.oldestSender + 1) % maxSenders
	}
	if now := p.now(); !p.view.Usable() && !s.firstStart && now >= senderPullDelay && now-s.lastSenderPull >= senderPullInterval {
		s.lastSenderPull = now
		p.fetch(p.w.processes[from])
	}
}

func (p *process) countAnswer(a *removalAttempt, from netip.Addr, d *fleet.Delta) {
	known := time.Duration(*d.RemovalsKnownMS) * ms
	switch {
	case from == a.sender:
		return
	case !a.gap && d.RemovalsSettled && known > a.own+startSpread:
		p.sync.adoptsSettled = true
	default:
		a.longest = max(a.longest, known)
	}
	a.answers++
}

// askForRemovals asks peers one after the other.
func (p *process) askForRemovals(peers []netip.Addr, a removalAttempt) {
	if len(peers) == 0 || p.view.RemovalsKnown(p.now()) {
		s := &p.sync
		s.askingRemovals = false
		if s.adoptsSettled {
			a.needed = a.asked
		}
		switch {
		case a.counts():
			s.removalAnswers++
		case s.adoptsSettled:
			s.removalAnswers, s.adoptsSettled = 0, false
		}
		_, gap := p.view.HistoryGap(p.now())
		switch {
		case p.view.RemovalsKnown(p.now()):
			s.removalAnswers = 0
		case !gap && (s.removalAnswers >= removalAttempts && p.now() >= minSettleTime || p.now() > maxRemovalsWait) || s.removalAnswers >= gapAttempts:
			if s.adoptsSettled {
				p.view.AdoptSettledRemovals()
			} else {
				p.view.SettleRemovals()
			}
			s.removalAnswers, s.adoptsSettled = 0, false
		}
		p.watchGap()
		return
	}
	w, peer, incarnation := p.w, p.w.processes[peers[0]], p.incarnation
	start, ago := p.view.HistoryStart(p.now())
	w.after(w.between(2*ms, 10*ms), func() {
		var d *fleet.Delta
		if peer.up && w.now >= peer.frozenUntil {
			removals := peer.view.Removals(peer.now(), start, ago)
			d = &removals
		}
		w.after(w.between(2*ms, 10*ms), func() {
			if p.incarnation != incarnation {
				return
			}
			p.step(func(now time.Duration) {
				if d != nil && d.RemovalsKnownMS != nil {
					p.apply(now, d)
					p.countAnswer(&a, peer.ip, d)
				}
				p.askForRemovals(peers[1:], a)
			})
		})
	})
}
