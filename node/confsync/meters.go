package confsync

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"trefoilweir.example/core/distribution"
)

// meters are the metrics of this package.
type meters struct {
	set          *metrics.Set
	adoptions    *metrics.Counter
	pollFailures *metrics.Counter
	peerCalls    *metrics.Counter
	receivedByte *metrics.Counter
	sentByte     *metrics.Counter
	panics       *metrics.Counter
}

func newMeters(set *metrics.Set, s *Sync) meters {
	set.GetOrCreateGauge("trefoilweir_config_version", func() float64 { return float64(s.state.Load().head.Version) })
	set.GetOrCreateGauge("trefoilweir_config_vms", func() float64 { return float64(len(s.VMs())) })
	set.GetOrCreateGauge("trefoilweir_config_reader", func() float64 {
		if s.place.Load().Reader {
			return 1
		}
		return 0
	})
	return meters{
		set:          set,
		adoptions:    set.GetOrCreateCounter("trefoilweir_config_adoptions_total"),
		pollFailures: set.GetOrCreateCounter("trefoilweir_config_poll_failures_total"),
		peerCalls:    set.GetOrCreateCounter("trefoilweir_config_peer_calls_total"),
		receivedByte: set.GetOrCreateCounter("trefoilweir_config_received_bytes_total"),
		sentByte:     set.GetOrCreateCounter("trefoilweir_config_sent_bytes_total"),
		panics:       set.GetOrCreateCounter(`trefoilweir_panics_total{part="confsync"}`),
	}
}

func (m *meters) alarm(kind distribution.AlarmKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("trefoilweir_config_alarms_total{kind=%q}", string(kind))).Inc()
}
