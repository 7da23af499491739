package packetplane

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

// Guards against a burst in which refused requests are not logged, and against an
// unbounded log.
func TestLogLinesOfABurst(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	set := metrics.NewSet()
	l := newEventLog(zap.New(core), set)
	view := fleet.New()
	const burst = 1000
	for i := range burst {
		key := flow.Key{CallerPort: uint16(i + 1)}
		l.add(time.Millisecond, []plane.Event{{Kind: plane.EventPlaced, Flow: key}, {Kind: plane.EventRefused, Flow: key, Reason: "queue_full"}}, view)
	}
	assert.Equal(t, lines.FilterMessage("placed").Len(), linesPerSecond)
	assert.Equal(t, lines.FilterMessage("refused").Len(), failureLinesPerSecond)
	assert.Equal(t, set.GetOrCreateCounter(`trefoilweir_decisions_total{kind="refused",reason="queue_full"}`).Get(), uint64(burst))
	// The next line reports how many were omitted.
	l.add(time.Second, []plane.Event{{Kind: plane.EventRefused, Reason: "queue_full"}}, view)
	last := lines.FilterMessage("refused").All()
	assert.Equal(t, last[len(last)-1].ContextMap()["left_out"], int64(burst-failureLinesPerSecond))
}

// Guards against a service name that stops the process because it is not valid
// in the name of a metric.
func TestServiceNameWithQuotes(t *testing.T) {
	set := metrics.NewSet()
	l := newEventLog(zap.NewNop(), set)
	for _, service := range []string{"a", `b"c\`, "d\ne", "}", ""} {
		l.recordLatencies([]plane.Latency{{Kind: plane.LatencyOwnerReport, Service: service, Took: time.Millisecond}})
	}
	assert.Equal(t, len(set.ListMetricNames()), 5+1)
}

// Guards against a log that does not tell whether a search that reset a flow had
// asked every agent whose target may hold the flow.
func TestResetLogsTheBasisOfTheSearch(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	l := newEventLog(zap.New(core), metrics.NewSet())
	basis := &plane.SearchBasis{Service: "booking", Listed: 3, Denied: 2, NotAsked: 1, SinceStart: 40 * time.Millisecond}
	l.add(0, []plane.Event{{Kind: plane.EventReset, Reason: "no_target_holds_flow", Search: basis}}, fleet.New())
	line := lines.FilterMessage("reset").All()[0].ContextMap()
	assert.Equal(t, line["service"], "booking")
	for field, want := range map[string]int64{"listed": 3, "denied": 2, "not_asked": 1, "since_start_ms": 40} {
		assert.Equal(t, line[field], want, field)
	}
}
