package agent

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// instruments updates the agent's metrics. The names of the metrics are stable.
type instruments struct {
	set     *metrics.Set
	service string
}

// dropped counts a datagram that was dropped.
func (m *instruments) dropped(reason string) {
	m.count("trefoilweir_agent_datagrams_dropped_total", "reason", reason)
}

// rejected counts invalid input other than datagrams. edge names the interface
// that received it.
func (m *instruments) rejected(edge, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilweir_agent_rejected_input_total{edge=%q,reason=%q}`, edge, reason)).Inc()
}

// panicked counts a recovered panic.
func (m *instruments) panicked(part string) {
	m.count("trefoilweir_agent_panics_total", "part", part)
}

// event counts a rare event.
func (m *instruments) event(name string) {
	m.count("trefoilweir_agent_events_total", "event", name)
}

func (m *instruments) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q}`, name, label, value)).Inc()
}

// request records the outcome and the duration of a request.
func (m *instruments) request(class, outcome string, took time.Duration) {
	labels := fmt.Sprintf(`service=%q,class=%q`, m.service, class)
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilweir_agent_requests_total{%s,outcome=%q}`, labels, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`trefoilweir_agent_request_seconds{%s}`, labels)).Update(took.Seconds())
}
