package ownership_test

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flowtable"
)

// Times of the transfer of flow tables, as in node/packetplane.
const (
	tableCallTimeout     = 150 * ms
	tableStopTimeout     = 700 * ms
	claimRepeatInterval  = 500 * ms
	claimRepeatTime      = 10 * time.Second
	firstViewPoll        = 5 * ms
	delayedCallsPerMille = 5
	callDelay            = 200 * ms
)

// tableState is what an agent has of flow tables: those that it keeps for others,
// and the search for its own.
type tableState struct {
	kept     *flowtable.Retention
	run      uint64
	restore  *flowtable.Restore
	began    time.Duration
	exported bool
}

// call runs a request at another process. reply gets whether the request was
// handled; it is called once, after tableCallTimeout at the latest. A process that
// is down refuses the connection, and a frozen one handles the request when it
// goes on.
func (p *process) call(to netip.Addr, handle func(peer *process), reply func(handled, refused bool)) {
	w, peer, incarnation := p.w, p.w.processes[to], p.incarnation
	replied := false
	once := func(handled, refused bool) {
		if !replied && p.up && p.incarnation == incarnation {
			replied = true
			reply(handled, refused)
		}
	}
	w.after(tableCallTimeout, func() { once(false, false) })
	delay := func() time.Duration {
		low, high := ms, 4*ms
		if peer.dataCentre != p.dataCentre {
			low, high = 8*ms, 20*ms
		}
		d := w.between(low, high)
		if w.IntN(1000) < delayedCallsPerMille {
			d += callDelay
		}
		return d
	}
	w.after(delay(), func() {
		switch {
		case !peer.up:
			w.after(delay(), func() { once(false, true) })
		case w.now < peer.frozenUntil:
			peer.backlog = append(peer.backlog, func() { handle(peer) })
		default:
			handle(peer)
			w.after(delay(), func() { once(true, false) })
		}
	})
}

func (p *process) keepers(owner netip.Addr) []netip.Addr {
	dataCentre := p.dataCentre
	if t := p.view.TargetAt(owner); t != nil {
		dataCentre = t.DataCentre
	}
	return flowtable.Keepers(flowtable.Members(p.view, p.now()), fleet.Member{VM: owner, DataCentre: dataCentre})
}

// handOverTables sends the table of a stopping agent and those that it keeps for
// others to their keepers, and then calls end.
func (p *process) handOverTables(end func()) {
	w, incarnation := p.w, p.incarnation
	t := p.agent.ExportTable(p.now())
	if p.tables.restore != nil {
		t.EarlierRuns = p.tables.restore.EarlierRuns()
	}
	own, err := t.Encode()
	if err != nil {
		panic(err)
	}
	entries := append(p.tables.kept.Close(p.now()), flowtable.KeptEntry{Agent: p.ip, Entry: flowtable.Entry{Table: own}})
	p.tables.exported = true
	began, waiting, ended := w.now, len(entries)*flowtable.Copies, false
	finish := func() {
		if !ended && p.up && p.incarnation == incarnation {
			ended = true
			end()
		}
	}
	w.after(tableStopTimeout, finish)
	for _, e := range entries {
		keepers := p.keepers(e.Agent)
		var next func()
		next = func() {
			if len(keepers) == 0 {
				if waiting--; waiting == 0 {
					finish()
				}
				return
			}
			to := keepers[0]
			keepers = keepers[1:]
			if to == p.ip {
				next()
				return
			}
			accepted := false
			p.call(to, func(peer *process) {
				entry := flowtable.Entry{Age: e.Age + w.now - began, Table: e.Table}
				accepted = peer.agent != nil && !peer.stopping && peer.tables.kept.Put(peer.now(), &entry) == nil
			}, func(bool, bool) {
				if !accepted {
					next()
					return
				}
				if waiting--; waiting == 0 {
					finish()
				}
			})
		}
		for range flowtable.Copies {
			next()
		}
	}
}

// restoreTable looks for the table of the last run, and then tells the keepers
// that have not answered that the agent runs.
func (p *process) restoreTable(now time.Duration) time.Duration {
	s := &p.tables
	if s.restore == nil {
		if !p.view.Usable() {
			return firstViewPoll
		}
		s.restore, s.began = flowtable.NewRestore(p.ip, s.run), now
	}
	searching := p.agent.Restoring() && !s.restore.Done(now, s.began)
	if !searching {
		if p.agent.Restoring() {
			p.endRestore(now)
		}
		if now-s.began > claimRepeatTime {
			return time.Hour
		}
	}
	for _, keeper := range p.keepers(p.ip) {
		if searching || !s.restore.Answered(keeper) {
			p.claim(keeper)
		}
	}
	if searching {
		return flowtable.AttemptInterval
	}
	return claimRepeatInterval
}

func (p *process) claim(keeper netip.Addr) {
	s := &p.tables
	s.restore.Ask(keeper)
	var answer *flowtable.Answer
	p.call(keeper, func(peer *process) {
		if peer.agent != nil {
			a := peer.tables.kept.Claim(peer.now(), p.ip, s.run)
			answer = &a
		}
	}, func(handled, refused bool) {
		p.step(func(now time.Duration) {
			if handled && answer != nil {
				if err := s.restore.Record(now, keeper, answer); err != nil {
					panic(err)
				}
			} else if refused {
				s.restore.Refused(keeper)
			}
			if p.agent.Restoring() && s.restore.Done(now, s.began) {
				p.endRestore(now)
			}
		})
	})
}

func (p *process) endRestore(now time.Duration) {
	t, age, reason := p.tables.restore.Table(now)
	if t == nil {
		p.agent.EndRestore(now, reason, &p.out)
		return
	}
	p.agent.ImportTable(now, t, age, &p.out)
}
