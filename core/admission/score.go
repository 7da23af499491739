package admission

import (
	"math"
	"slices"
	"time"

	"trefoilweir.example/core/config"
)

// biasParams holds the numbers that a bias chooses. docs/policy.md has the
// measurements behind them.
type biasParams struct {
	scoreIsTime bool
	// handOverCost is the cost of a hand-over, as a time. It matters only where the
	// score is a time.
	handOverCost time.Duration
	// margin is by how much a peer must be better: for the latency bias as a
	// part of the own score, for the balance bias in requests.
	margin float64
	// peerQueuePerSlot is how many requests per slot a peer's request may queue behind.
	peerQueuePerSlot float64
	// utilizationWeight is the weight of the mean utilization in the balance score,
	// relative to that of the present occupancy.
	utilizationWeight float64
}

func paramsFor(b config.Bias) biasParams {
	if b == config.BiasLatency {
		return biasParams{scoreIsTime: true, handOverCost: 4 * time.Millisecond, margin: 0.1, peerQueuePerSlot: 1}
	}
	return biasParams{margin: 0.5, peerQueuePerSlot: 1, utilizationWeight: 2}
}

const (
	// defaultWork is the assumed work of a request, as the time a target of
	// speed 1 takes, until any service time has been measured.
	defaultWork = 100 * time.Millisecond
	// speedTolerance is the ratio between measured and configured speed within
	// which the configured one is used: it is wider than the noise of the
	// means.
	speedTolerance = 1.4
)

// score rates a target for one more request: the lower, the better. For the
// balance bias it is the target's present and recent occupancy over its
// capacity: windows of a second are balanced better by making up for what was
// than by the present figure alone. For the latency bias it is the expected
// time to completion, in units of the time a target of speed 1 takes.
func (t biasParams) score(occupied, utilization float64, slots int, speed float64) float64 {
	s := float64(slots)
	if t.scoreIsTime {
		return (1 + max(0, occupied+1-s)/s) / speed
	}
	return (occupied + 1 + t.utilizationWeight*utilization*s) / (s * speed)
}

// localOccupied counts what is on the local target before r.
func (m *Machine) localOccupied() int { return m.running + m.issued.reservedSlots() + len(m.waiting) }

// localScore rates the local target with the given number of requests on it.
func (m *Machine) localScore(occupied int) float64 {
	return m.params.score(float64(occupied), m.meter.utilization, m.slots(), m.localSpeed())
}

// peerScore rates a peer as it was last heard of.
func (m *Machine) peerScore(p *peer) float64 {
	utilization := 0.5
	if p.loadKnown {
		utilization = p.load.Utilization
	}
	return m.params.score(m.peerOccupied(p), utilization, p.slots(), m.peerSpeed(p)) + m.handOverScore()
}

// peerOccupied estimates the number of requests at a peer: it drifts from the
// reported one to the mean within about a service time.
func (m *Machine) peerOccupied(p *peer) float64 {
	if !p.loadKnown {
		return float64(p.Slots) / 2
	}
	mean := p.load.Utilization * float64(p.load.Slots)
	keep := math.Exp(-float64(m.now-p.loadTime) * m.peerSpeed(p) / float64(m.medianWork()))
	return mean + (float64(p.load.Busy+p.load.Waiting)-mean)*keep
}

// peerRequestLimit is the number of requests up to which a target takes those of peers.
func (t biasParams) peerRequestLimit(slots int) int {
	return slots + int(t.peerQueuePerSlot*float64(slots))
}

// peerScoreLimit is the score that a peer has to undercut to get a request that is
// already in the queue here.
func (m *Machine) peerScoreLimit() float64 {
	own := m.localScore(m.localOccupied() - 1)
	if m.params.scoreIsTime {
		return own * (1 - m.params.margin)
	}
	return own - m.params.margin/(float64(m.slots())*m.localSpeed())
}

func (m *Machine) handOverScore() float64 {
	return float64(m.params.handOverCost) / float64(m.medianWork())
}

// medianWork is the median over the targets of service time times configured
// speed.
func (m *Machine) medianWork() time.Duration {
	var all []time.Duration
	add := func(d time.Duration, speed float64) {
		if d > 0 {
			all = append(all, time.Duration(float64(d)*speed))
		}
	}
	add(m.meter.serviceTime(), m.limits.Speed)
	for _, p := range m.peers.list {
		add(p.load.ServiceTime, p.Speed)
	}
	if len(all) == 0 {
		return defaultWork
	}
	slices.Sort(all)
	return max(all[len(all)/2], time.Microsecond)
}

func (m *Machine) localSpeed() float64 {
	return effectiveSpeed(m.limits.Speed, m.meter.serviceTime(), m.medianWork())
}

// peerSpeed trusts the peer's answers over what the peer reports.
func (m *Machine) peerSpeed(p *peer) float64 {
	measured := p.serviceTimes.value()
	if measured == 0 {
		measured = p.load.ServiceTime
	}
	return effectiveSpeed(p.Speed, measured, m.medianWork())
}

func effectiveSpeed(configured float64, measured, work time.Duration) float64 {
	if measured <= 0 {
		return configured
	}
	speed := float64(work) / float64(measured)
	if ratio := speed / configured; ratio < speedTolerance && ratio > 1/speedTolerance {
		return configured
	}
	return speed
}
