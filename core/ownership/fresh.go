package ownership

import (
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/plane"
)

// An agent whose target is fresh knows every flow that the target holds: it has
// seen all of them open. An agent that restarted beside a running target does not
// know which flows the target has. Without the distinction, every packet of a
// lost flow would go to every target of the service as a probe after the loss of
// all VMs.

// checkFreshTarget detects that the target started no earlier than the agent.
// The time of day may have jumped by seconds between the two starts. So it counts
// only for a target that is warming up and whose entry appeared after the agent
// had a view that was current at its start or later.
func (m *Machine) checkFreshTarget(now time.Duration, t *fleet.Target, out *plane.Out) {
	if age := m.ageOf(t); m.unknownFlowsUntil != 0 && t.WarmupMS > 0 && age <= maxStartSkew {
		m.recordFresh(now, "started_with_agent", age.Milliseconds(), out)
	}
}

// checkJointStart detects that all VMs have restarted, if the target wrote its
// entry before the agent had a view. Then the entry does not show by itself that
// it is new, and the time of day may have jumped between the two starts. So it
// counts only if all peers that were asked started with this agent as well, and if
// most other targets of the service are warming up too: if only the processes were
// killed, the others have run for longer, whatever this VM's clock says.
func (m *Machine) checkJointStart(now time.Duration, t *fleet.Target, out *plane.Out) {
	age, sinceStart := m.ageOf(t), now-m.startedAt
	if t.WarmupMS > 0 && sinceStart <= maxJointStart && age <= maxStartSkew && -age <= sinceStart+maxStartSkew && m.mostOthersWarmUp() {
		m.recordFresh(now, "all_started_together", age.Milliseconds(), out)
	}
}

// mostOthersWarmUp reports whether more than half of the other listed targets of
// the service are warming up.
func (m *Machine) mostOthersWarmUp() bool {
	warmingUp, warm := 0, 0
	for _, t := range m.View.Targets(m.Service) {
		switch {
		case t.Agent() == m.Self:
		case t.WarmupMS > 0:
			warmingUp++
		default:
			warm++
		}
	}
	return warmingUp > warm
}

// ageOf returns by how much a target started before this agent, by the time of
// day.
func (m *Machine) ageOf(t *fleet.Target) time.Duration {
	return time.Duration(m.StartedMS-t.StartUnixMS) * time.Millisecond
}

// TargetNotRunning records that no process listens at the address of the
// target. The target then holds no flows, and the agent sees every flow of a
// target that starts later.
func (m *Machine) TargetNotRunning(now time.Duration, out *plane.Out) {
	if m.targetHeard || !m.mayHoldUnknownFlows(now) {
		return
	}
	m.recordFresh(now, "not_running", 0, out)
}

// recordFresh records that the target holds no flow from before the start of the
// agent. That also answers the probes that are on their way, and ends the doubt
// about flows that other agents have asked for.
func (m *Machine) recordFresh(now time.Duration, reason string, value int64, out *plane.Out) {
	m.unknownFlowsUntil = 0
	m.warmupLimiter.NothingBefore()
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: reason, Value: value})
	for key, s := range m.searches {
		s.doubted = false
		switch {
		case s.onlySelfAsked:
			m.searchOthers(now, s, out)
		case s.prober.IsValid():
			m.answerNotHeld(now, key, s, out)
		}
	}
}
