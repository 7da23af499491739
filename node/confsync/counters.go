package confsync

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"trefoilweir.example/core/distribution"
)

// counters holds the counters of a Sync.
type counters struct {
	set           *metrics.Set
	adoptions     *metrics.Counter
	pollFailures  *metrics.Counter
	peerCalls     *metrics.Counter
	receivedBytes *metrics.Counter
	sentBytes     *metrics.Counter
	panics        *metrics.Counter
}

func newCounters(set *metrics.Set, s *Sync) counters {
	set.GetOrCreateGauge("trefoilweir_config_version", func() float64 { return float64(s.state.Load().head.Version) })
	set.GetOrCreateGauge("trefoilweir_config_vms", func() float64 { return float64(len(s.VMs())) })
	set.GetOrCreateGauge("trefoilweir_config_reader", func() float64 {
		if s.position.Load().Reader {
			return 1
		}
		return 0
	})
	return counters{
		set:           set,
		adoptions:     set.GetOrCreateCounter("trefoilweir_config_adoptions_total"),
		pollFailures:  set.GetOrCreateCounter("trefoilweir_config_poll_failures_total"),
		peerCalls:     set.GetOrCreateCounter("trefoilweir_config_peer_calls_total"),
		receivedBytes: set.GetOrCreateCounter("trefoilweir_config_received_bytes_total"),
		sentBytes:     set.GetOrCreateCounter("trefoilweir_config_sent_bytes_total"),
		panics:        set.GetOrCreateCounter(`trefoilweir_panics_total{part="confsync"}`),
	}
}

func (m *counters) alarm(kind distribution.AlarmKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("trefoilweir_config_alarms_total{kind=%q}", string(kind))).Inc()
}
