package ownership

import (
	"time"

	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/core/plane"
)

// ExportTable returns what the next run of the agent needs to know. The agent must
// pass no packets after that.
func (m *Machine) ExportTable(now time.Duration) *flowtable.Table {
	t := &flowtable.Table{Agent: m.Self, Run: m.Run, Target: m.Target, TargetStartUnixMS: m.targetStartUnixMS}
	if m.mayHoldUnknownFlows(now) {
		t.DoubtFor, t.DoubtLeft = now-m.unknownFlowsSince, m.unknownFlowsUntil-now
	}
	if m.flowsOmitted {
		t.DoubtFor, t.DoubtLeft = 0, defaultFlowTTL
	}
	for key, f := range m.flows {
		x := flowtable.Flow{
			Key: key, Accepted: f.accepted, Opened: f.opened, Busy: f.phase == phaseBusy, CallerClosed: f.callerClosed, TargetClosed: f.targetClosed,
			BaseKnown: f.baseKnown, Base: f.base, Top: f.top, CallerTopKnown: f.callerTopKnown, CallerTop: f.callerTop,
			OpenSeqKnown: f.openSeqKnown, OpenSeq: f.openSeq, SinceSeen: now - f.lastSeen,
		}
		if !f.opened {
			x.Origin, x.Home = f.origin, f.home
		}
		t.Flows = append(t.Flows, x)
	}
	for key, s := range m.searches {
		p := flowtable.Probes{Key: key, Denied: s.selfDenied, Doubted: s.doubted && now-s.doubtedAt <= doubtTTL, SinceDoubted: now - s.doubtedAt}
		for _, at := range s.ownTargetProbes {
			if now-at <= probeWindow {
				p.Ages = append(p.Ages, now-at)
			}
		}
		if p.Doubted || len(p.Ages) > 0 {
			t.Probes = append(t.Probes, p)
		}
	}
	return t
}

// ImportTable takes over the table of the last run, which was exported an age ago,
// and ends the wait for it. It returns why the table cannot be used, or an empty
// string. Flows that the agent has seen since its start are kept. The table may
// come after the wait, because the first view came late.
func (m *Machine) ImportTable(now time.Duration, t *flowtable.Table, age time.Duration, out *plane.Out) (refused string) {
	if refused = m.tableRefusal(t); refused != "" {
		m.EndRestore(now, refused, out)
		return refused
	}
	for i := range t.Flows {
		m.importFlow(now, &t.Flows[i])
	}
	for i := range t.Probes {
		m.importProbes(now, &t.Probes[i], age)
	}
	m.unknownFlowsUntil = 0
	if t.DoubtLeft > 0 {
		// Packets that came while the agent was down were not observed.
		m.unknownFlowsUntil, m.unknownFlowsSince = now+t.DoubtLeft, now-t.DoubtFor
	}
	if !m.restore.waiting {
		out.Event(plane.Event{Kind: plane.EventRestored, Reason: "table_came_late"})
	}
	m.EndRestore(now, "table", out)
	return ""
}

// tableRefusal returns why a table does not tell which flows the target holds, or
// an empty string if it does.
func (m *Machine) tableRefusal(t *flowtable.Table) string {
	entry := m.ownTarget()
	switch {
	case t.Agent != m.Self || t.Target != m.Target:
		return "other_target"
	case m.unknownFlowsUntil == 0:
		return "target_fresh"
	case entry != nil && entry.Address == m.Target && entry.StartUnixMS != t.TargetStartUnixMS:
		return "other_incarnation"
	}
	return ""
}

func (m *Machine) importFlow(now time.Duration, x *flowtable.Flow) {
	f := m.flows[x.Key]
	switch {
	case f == nil && len(m.flows) >= maxFlows:
		m.flowsOmitted = true
		return
	case f == nil:
		f = &ownedFlow{}
		m.flows[x.Key] = f
	case f.openSeqKnown && (!x.OpenSeqKnown || x.OpenSeq != f.openSeq):
		// The caller has reused the port for another flow since the start.
		return
	}
	f.accepted, f.opened = f.accepted || x.Accepted, f.opened || x.Opened
	if x.BaseKnown {
		if !f.baseKnown || int32(x.Top-f.top) > 0 {
			f.top = x.Top
		}
		f.base, f.baseKnown = x.Base, true
	}
	if x.CallerTopKnown && (!f.callerTopKnown || int32(x.CallerTop-f.callerTop) > 0) {
		f.callerTop, f.callerTopKnown = x.CallerTop, true
	}
	if x.OpenSeqKnown {
		f.openSeq, f.openSeqKnown = x.OpenSeq, true
	}
	f.callerClosed, f.targetClosed = f.callerClosed || x.CallerClosed, f.targetClosed || x.TargetClosed
	f.lastSeen = max(f.lastSeen, now-x.SinceSeen)
	if !f.opened && !f.home.IsValid() {
		f.origin, f.home = x.Origin, x.Home
	}
	if f.phase == phaseClosed {
		m.stats.setPhase(now, x.Key, f, importedPhase(x))
	}
}

// importedPhase returns the phase of a flow of the last run. A flow that was only
// offered counts as no load: its opening packet is not known, so it cannot be
// handed over if the target does not accept it.
func importedPhase(x *flowtable.Flow) phase {
	switch {
	case !x.Accepted || x.CallerClosed && x.TargetClosed:
		return phaseClosed
	case !x.Opened:
		return phaseHalfOpen
	case x.Busy:
		return phaseBusy
	}
	return phaseIdle
}

// importProbes takes over what the last run knew about probes of a flow. Their
// age grows while the agent is down.
func (m *Machine) importProbes(now time.Duration, x *flowtable.Probes, age time.Duration) {
	s := m.searchResult(now, x.Key)
	var times probeTimes
	for _, at := range x.Ages {
		times = append(times, now-age-at)
	}
	s.ownTargetProbes = append(times, s.ownTargetProbes...)
	s.selfDenied = s.selfDenied || x.Denied
	if x.Doubted && !s.doubted {
		s.doubted, s.doubtedAt = true, now-age-x.SinceDoubted
	}
}
