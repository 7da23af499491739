package packetplane

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/node/telemetry"
)

const (
	// linesPerSecond bounds the log lines for one kind of decision.
	linesPerSecond = 20
	// failureLinesPerSecond bounds the log lines for a kind that ends a request.
	// It is higher, so that failed requests are logged even in a burst.
	failureLinesPerSecond = 250
	// maxEventFields is the greatest number of fields of a line.
	maxEventFields = 14
)

// lineLimit returns the maximum number of log lines per second for a kind.
func lineLimit(kind plane.EventKind) int {
	switch kind {
	case plane.EventRefused, plane.EventReset:
		return failureLinesPerSecond
	default:
		return linesPerSecond
	}
}

// lineBudget counts the log lines for one kind of decision in a second.
type lineBudget struct {
	second  time.Duration
	written int
	omitted int
}

// eventLog logs decisions within the limits for their kinds, and counts all of
// them.
type eventLog struct {
	log        *zap.Logger
	metrics    *metrics.Set
	budgets    map[plane.EventKind]*lineBudget
	sendErrors *metrics.Counter
	// decisionCounters and latencyHistograms hold the metrics by their labels,
	// so that the name of a metric is formatted only once.
	decisionCounters  map[decisionKey]*metrics.Counter
	latencyHistograms map[latencyKey]*metrics.Histogram
}

// decisionKey and latencyKey are the labels of a counter and of a histogram.
type (
	decisionKey struct {
		kind   plane.EventKind
		reason string
	}
	latencyKey struct {
		kind    plane.LatencyKind
		service string
	}
)

func newEventLog(log *zap.Logger, set *metrics.Set) *eventLog {
	return &eventLog{
		log: log, metrics: set, budgets: map[plane.EventKind]*lineBudget{}, sendErrors: set.GetOrCreateCounter("trefoilweir_send_errors_total"),
		decisionCounters: map[decisionKey]*metrics.Counter{}, latencyHistograms: map[latencyKey]*metrics.Histogram{},
	}
}

func (l *eventLog) add(now time.Duration, events []plane.Event, view *fleet.View) {
	for i := range events {
		e := &events[i]
		l.counter(e.Kind, e.Reason).Inc()
		if omitted, ok := l.allow(now, e.Kind); ok {
			l.write(now, e, omitted, view)
		}
	}
}

// recordLatencies adds latencies to the histograms.
func (l *eventLog) recordLatencies(latencies []plane.Latency) {
	for _, t := range latencies {
		l.recordLatency(t.Kind, t.Service, t.Took)
	}
}

func (l *eventLog) recordLatency(kind plane.LatencyKind, service string, took time.Duration) {
	l.histogram(kind, service).Update(took.Seconds())
}

func (l *eventLog) counter(kind plane.EventKind, reason string) *metrics.Counter {
	c := l.decisionCounters[decisionKey{kind, reason}]
	if c == nil {
		c = l.metrics.GetOrCreateCounter(fmt.Sprintf("trefoilweir_decisions_total{kind=%q,reason=%q}", kind, reason))
		l.decisionCounters[decisionKey{kind, reason}] = c
	}
	return c
}

// histogram quotes the name of the service, which may contain any character.
func (l *eventLog) histogram(kind plane.LatencyKind, service string) *metrics.Histogram {
	h := l.latencyHistograms[latencyKey{kind, service}]
	if h == nil {
		h = l.metrics.GetOrCreateHistogram(fmt.Sprintf("trefoilweir_%s_seconds{service=%q}", kind, service))
		l.latencyHistograms[latencyKey{kind, service}] = h
	}
	return h
}

// allow reports whether a log line may be written, and how many lines of its
// kind were omitted before it.
func (l *eventLog) allow(now time.Duration, kind plane.EventKind) (omitted int, ok bool) {
	b := l.budgets[kind]
	if b == nil {
		b = &lineBudget{}
		l.budgets[kind] = b
	}
	if second := now.Truncate(time.Second); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written >= lineLimit(kind) {
		b.omitted++
		return 0, false
	}
	b.written++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

func (l *eventLog) write(now time.Duration, e *plane.Event, omitted int, view *fleet.View) {
	fields := make([]zap.Field, 0, maxEventFields)
	if e.Flow != (flow.Key{}) {
		fields = append(fields, zap.String(telemetry.KeyFlow, e.Flow.String()), zap.Uint32("number", e.PacketSeq))
	}
	fields = append(fields, telemetry.Reason(e.Reason), zap.Int64("value", e.Value),
		zap.Uint64("revision", view.Revision()), telemetry.Version(view.Version()), zap.Int64("view_age_ms", view.Age(now).Milliseconds()))
	if e.Peer.IsValid() {
		fields = append(fields, telemetry.Peer(e.Peer.String()))
	}
	if b := e.Search; b != nil {
		fields = append(fields, zap.String("service", b.Service), zap.Int("listed", b.Listed), zap.Int("denied", b.Denied), zap.Int("not_asked", b.NotAsked),
			zap.Int64("since_start_ms", b.SinceStart.Milliseconds()))
	}
	if omitted > 0 {
		fields = append(fields, zap.Int("left_out", omitted))
	}
	l.log.Info(string(e.Kind), fields...)
}

func (l *eventLog) sendFailed(to netip.Addr, err error) {
	l.sendErrors.Inc()
	l.log.Debug("cannot send datagram", telemetry.Peer(to.String()), telemetry.Error(err))
}
