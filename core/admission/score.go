package admission

import (
	"math"
	"slices"
	"time"

	"trefoilweir.example/core/config"
)

// biasParams are the parameters of a bias. docs/policy.md has the measurements
// behind them.
type biasParams struct {
	scoreIsTime bool
	// handOverCost is the cost of a hand-over, as a duration. It applies only
	// where the score is a time.
	handOverCost time.Duration
	// margin is the least advantage of a peer over the local target: for the
	// latency bias as a fraction of the local score, for the balance bias in
	// requests.
	margin float64
	// peerQueuePerSlot is the number of waiting requests per slot up to which
	// an agent accepts requests of peers.
	peerQueuePerSlot float64
	// utilizationWeight is the weight of the mean utilization in the balance
	// score, relative to that of the present occupancy.
	utilizationWeight float64
}

func paramsFor(b config.Bias) biasParams {
	if b == config.BiasLatency {
		return biasParams{scoreIsTime: true, handOverCost: 4 * time.Millisecond, margin: 0.1, peerQueuePerSlot: 1}
	}
	return biasParams{margin: 0.5, peerQueuePerSlot: 1, utilizationWeight: 2}
}

const (
	// defaultWork is the work of a request that is assumed until a service time
	// has been measured. Work is the service time on a target of speed 1.
	defaultWork = 100 * time.Millisecond
	// speedTolerance is the ratio between measured and configured speed up to
	// which the configured speed is used. It exceeds the noise of the measured
	// means.
	speedTolerance = 1.4
)

// score rates a target for one more request. The lowest score is the best. For
// the balance bias it is the present and recent occupancy of the target divided
// by its capacity: a score that compensates for recent imbalance balances
// windows of a second better than the present occupancy alone. For the latency
// bias it is the expected time to completion, in units of the time that a
// target of speed 1 takes.
func (p biasParams) score(occupied, utilization float64, slots int, speed float64) float64 {
	s := float64(slots)
	if p.scoreIsTime {
		return (1 + max(0, occupied+1-s)/s) / speed
	}
	return (occupied + 1 + p.utilizationWeight*utilization*s) / (s * speed)
}

// localOccupied returns the number of requests on the local target: running,
// expected under a grant that reserves a slot, and waiting.
func (m *Machine) localOccupied() int { return m.running + m.issued.reservedSlots() + len(m.waiting) }

// localScore returns the score of the local target with the given number of
// requests on it.
func (m *Machine) localScore(occupied int) float64 {
	return m.params.score(float64(occupied), m.meter.utilization, m.slots(), m.localSpeed())
}

// peerScore returns the score of a peer, estimated from its last known load.
func (m *Machine) peerScore(p *peer) float64 {
	utilization := 0.5
	if p.loadKnown {
		utilization = p.load.Utilization
	}
	return m.params.score(m.peerOccupied(p), utilization, p.slots(), m.peerSpeed(p)) + m.handOverScore()
}

// peerOccupied estimates the number of requests at a peer. The estimate decays
// from the reported number to the mean within about one service time.
func (m *Machine) peerOccupied(p *peer) float64 {
	if !p.loadKnown {
		return float64(p.Slots) / 2
	}
	mean := p.load.Utilization * float64(p.load.Slots)
	keep := math.Exp(-float64(m.now-p.loadTime) * m.peerSpeed(p) / float64(m.medianWork()))
	return mean + (float64(p.load.Busy+p.load.Waiting)-mean)*keep
}

// peerRequestLimit returns the number of requests on a target from which the
// target accepts no more requests of peers.
func (p biasParams) peerRequestLimit(slots int) int {
	return slots + int(p.peerQueuePerSlot*float64(slots))
}

// peerScoreLimit returns the score below which a peer is preferred for a
// request that is already in the local queue.
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

// medianWork returns the median over the targets of service time times
// configured speed.
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

// peerSpeed returns the speed of a peer. The service time measured on requests
// handed over to the peer takes precedence over the one that it reports.
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
