package waitqueue

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	table     = flag.Bool("table", false, "log the comparison of all orders")
	firstSeed = flag.Uint64("first-seed", 11, "first seed of the comparison")
	seedCount = flag.Uint64("seeds", 4, "number of seeds of the comparison")
)

// The orders that are compared.
var (
	centralOrder  = order{name: "central queue, worth per work", before: gainOrder, central: true}
	beforeHolding = order{name: "before", before: todayOrder, starve: true}
	currentOrder  = order{name: "current", before: todayOrder, hold: true, lowShare: lowestShare, starve: true}
	allOrders     = []order{
		centralOrder, beforeHolding, currentOrder,
		{name: "deadline", before: deadlineOrder, starve: true},
		{name: "priority", before: priorityOrder, starve: true},
		{name: "worth per work", before: gainOrder, starve: true},
		{name: "hold, no share", before: todayOrder, hold: true, starve: true},
		{name: "hold, deadline", before: deadlineOrder, hold: true, starve: true},
		{name: "hold, priority", before: priorityOrder, hold: true, starve: true},
		{name: "hold, worth per work", before: gainOrder, hold: true, starve: true},
		{name: "hold, priority, share", before: priorityOrder, hold: true, lowShare: lowestShare, starve: true},
		{name: "current, no refusal of starved", before: todayOrder, hold: true, lowShare: lowestShare},
		{name: "current, refusal by prediction", before: todayOrder, hold: true, lowShare: lowestShare, starve: true, predict: true},
		{name: "current, hold of 0.2 s", before: todayOrder, hold: true, holdLimit: 0.2, lowShare: lowestShare, starve: true},
	}
)

// oneRoute has callers that nearly all open a flow for each request, and
// openFlows callers of which half keep theirs.
var (
	oneRoute  = []modelRoute{{priority: 1, work: 0.039, objective: 0.200, timeout: 1.2, share: 1, openShare: 0.1}}
	openFlows = []modelRoute{{priority: 1, work: 0.039, objective: 0.200, timeout: 1.2, share: 1, openShare: 0.5}}
)

// shares are the shares of the worth that callers got, by priority and in total.
type shares struct {
	byPriority [3]float64
	total      float64
	lost       [3]int
}

func runOrders(b burst, o order, first, count uint64) shares {
	var earned, offered [3]float64
	var s shares
	for i := range count {
		m := runOrder(b, o, first+i)
		for p := range earned {
			earned[p] += m.earned[p]
			offered[p] += m.offered[p]
			s.lost[p] += m.lost[p]
		}
	}
	sumEarned, sumOffered := 0.0, 0.0
	for p := range earned {
		s.byPriority[p] = earned[p] / max(offered[p], 1)
		sumEarned += earned[p]
		sumOffered += offered[p]
	}
	s.total = sumEarned / sumOffered
	return s
}

// Guards against a burst in which callers that keep their flow go before urgent
// ones that open a flow. With this load the requests of priority 1 got 0.20 to 0.25
// of their worth and those of priority 2 0.49 to 0.62.
func TestUrgentRequestsInBurst(t *testing.T) {
	// Requests of priority 0 have half the objective in the model, which some miss
	// by their own work.
	const tolerance = 0.01
	for _, b := range []burst{{name: "even", load: 1.2, total: true}, {name: "even", load: 2.6, total: true}, {name: "slow", load: 2.6, slow: 0.25, total: true}, {name: "cold", load: 1.2, cold: true, total: true}} {
		before, now := runOrders(b, beforeHolding, 21, 2), runOrders(b, currentOrder, 21, 2)
		assert.Assert(t, now.byPriority[0] >= now.byPriority[1]-tolerance && now.byPriority[1] >= now.byPriority[2], "%s %.1f: %v", b.name, b.load, now.byPriority)
		assert.Assert(t, now.total > before.total, "%s %.1f: %.3f of the worth, %.3f before", b.name, b.load, now.total, before.total)
	}
}

// Guards against a lasting overload in which the lowest priority gets nothing.
func TestLowestPriorityInBurst(t *testing.T) {
	s := runOrders(burst{load: 2.6, slow: 0.25, total: true}, currentOrder, 21, 2)
	assert.Assert(t, s.byPriority[2] > 0.1, "%.3f", s.byPriority[2])
}

// Guards against a change for overload that costs something below it.
func TestNoLossWithoutOverload(t *testing.T) {
	for _, b := range []burst{{load: 0.5, total: true}, {load: 0.8, total: true}, {load: 0.8, slow: 0.25, total: true}, {load: 0.8, routes: oneRoute, total: true}} {
		before, now := runOrders(b, beforeHolding, 21, 2), runOrders(b, currentOrder, 21, 2)
		assert.Assert(t, now.total >= before.total-0.001, "%.3f of the worth, %.3f before", now.total, before.total)
	}
}

// TestOrderComparison logs the figures of docs/design/overload.md if -table is
// set.
func TestOrderComparison(t *testing.T) {
	if !*table {
		t.Skip("-table is not set")
	}
	for _, b := range []burst{
		{name: "even", load: 0.8}, {name: "even", load: 1.2}, {name: "even", load: 1.8}, {name: "even", load: 2.6}, {name: "slow", load: 0.8, slow: 0.25}, {name: "slow", load: 1.2, slow: 0.25},
		{name: "slow", load: 2.6, slow: 0.25}, {name: "cold", load: 1.2, cold: true}, {name: "cold", load: 2.6, cold: true},
		{name: "one route", load: 1.2, routes: oneRoute}, {name: "one route", load: 1.8, routes: oneRoute}, {name: "one route", load: 2.6, routes: oneRoute},
		{name: "open flows", load: 1.2, routes: openFlows}, {name: "open flows", load: 2.6, routes: openFlows},
	} {
		b.total = true
		for _, o := range allOrders {
			s := runOrders(b, o, *firstSeed, *seedCount)
			t.Logf("%-10s %.1f %-31s p0 %.3f p1 %.3f p2 %.3f total %.3f lost %v", b.name, b.load, o.name, s.byPriority[0], s.byPriority[1], s.byPriority[2], s.total, s.lost)
		}
	}
}
