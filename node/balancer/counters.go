package balancer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// reason says why a datagram was dropped. The names in reasonNames must not
// change, because dashboards and alerts refer to them.
type reason uint8

const (
	reasonNone reason = iota
	// Reasons for datagrams from callers.
	reasonShort
	reasonTooLong
	reasonVersionNegotiation
	reasonIDLength
	reasonUnknownGeneration
	reasonOtherService
	reasonAgentNetwork
	reasonNotFirst
	reasonSmallFirst
	reasonNoTarget
	// Reasons for datagrams from agents.
	reasonWireShort
	reasonWireVersion
	reasonWireGeneration
	reasonWireTag
	reasonWireKind
	reasonSourceNetwork
	reasonUnknownService
	reasonBadCaller
	// Reason for both directions.
	reasonSendFailed
	reasonCount
)

var reasonNames = [reasonCount]string{
	reasonNone:               "",
	reasonShort:              "short",
	reasonTooLong:            "too_long",
	reasonVersionNegotiation: "version_negotiation",
	reasonIDLength:           "id_length",
	reasonUnknownGeneration:  "unknown_generation",
	reasonOtherService:       "other_service",
	reasonAgentNetwork:       "agent_network",
	reasonNotFirst:           "not_first",
	reasonSmallFirst:         "small_first",
	reasonNoTarget:           "no_target",
	reasonWireShort:          "wire_short",
	reasonWireVersion:        "wire_version",
	reasonWireGeneration:     "wire_generation",
	reasonWireTag:            "wire_tag",
	reasonWireKind:           "wire_kind",
	reasonSourceNetwork:      "source_network",
	reasonUnknownService:     "unknown_service",
	reasonBadCaller:          "bad_caller",
	reasonSendFailed:         "send_failed",
}

// counters holds the counters of a balancer that are not kept per service.
type counters struct {
	set            *metrics.Set
	dropped        [reasonCount]*metrics.Counter
	pingsSent      *metrics.Counter
	pingsAnswered  *metrics.Counter
	pongsReceived  *metrics.Counter
	panics         *metrics.Counter
	openFailures   *metrics.Counter
	configurations *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:            set,
		pingsSent:      set.GetOrCreateCounter("trefoilweir_balancer_pings_sent_total"),
		pingsAnswered:  set.GetOrCreateCounter("trefoilweir_balancer_pings_answered_total"),
		pongsReceived:  set.GetOrCreateCounter("trefoilweir_balancer_pongs_total"),
		panics:         set.GetOrCreateCounter("trefoilweir_balancer_panics_total"),
		openFailures:   set.GetOrCreateCounter("trefoilweir_balancer_open_failures_total"),
		configurations: set.GetOrCreateCounter("trefoilweir_balancer_configurations_total"),
	}
	for r := reasonNone + 1; r < reasonCount; r++ {
		c.dropped[r] = set.GetOrCreateCounter(fmt.Sprintf("trefoilweir_balancer_dropped_total{reason=%q}", reasonNames[r]))
	}
	return c
}

func (c *counters) drop(r reason) { c.dropped[r].Inc() }

// serviceCounters holds the datagram counters of one service.
type serviceCounters struct {
	forwarded, firstPackets, returned *metrics.Counter
}

func newServiceCounters(set *metrics.Set, service string) serviceCounters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("trefoilweir_balancer_%s_total{service=%q}", name, service))
	}
	return serviceCounters{counter("forwarded"), counter("first"), counter("returned")}
}
