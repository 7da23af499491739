package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/target"
)

const (
	// newWorkGrace is the time after its listing as leaving in which a target
	// may still receive new work.
	newWorkGrace = 5 * time.Second
	// maxExamples limits the request IDs per violation in the report.
	maxExamples = 5

	latencyUnit   = time.Microsecond
	latencyMax    = 2 * time.Minute
	latencyDigits = 3
)

// Report summarizes a run. The sum of Finished, RefusedNotRun and UnknownOutcome
// is Requests.
type Report struct {
	Seed           uint64 `json:"seed"`
	Requests       int    `json:"requests"`
	Finished       int    `json:"finished"`
	RefusedNotRun  int    `json:"refused_not_run"`
	UnknownOutcome int    `json:"unknown_outcome"`
	// BrokenFlows counts the connections and tickers that ended before their
	// caller or target closed them.
	BrokenFlows int `json:"broken_flows"`
	// Lost counts requests that ended without an answer or a verdict, and
	// finished requests that are in no target's log.
	Lost int `json:"lost"`
	// Doubled counts requests that must not run twice but ran more than once.
	Doubled int `json:"doubled"`
	// RanAfterNotRun counts requests that ran although the caller received or
	// inferred the verdict "not-run".
	RanAfterNotRun int `json:"ran_after_not_run"`
	// Misrouted counts runs at a target of another service.
	Misrouted   int `json:"misrouted"`
	WrongAnswer int `json:"wrong_answer"`
	// LateWork counts runs that began at a target over 5 s after it was listed
	// as leaving.
	LateWork int `json:"late_work"`
	// Imbalance is the imbalance between targets, with slots weighted by the
	// measured speed.
	Imbalance float64 `json:"imbalance"`
	// ImbalanceSlots is the imbalance with all slots weighted equally.
	ImbalanceSlots float64 `json:"imbalance_slots"`
	P50MS          float64 `json:"p50_ms"`
	P99MS          float64 `json:"p99_ms"`
	// TickerGapMS is the longest time between two lines of a ticker.
	TickerGapMS float64 `json:"ticker_gap_ms"`
	Flows       int     `json:"flows"`
	FailedDials int     `json:"failed_dials"`
	// Attempts is the number of attempts of all requests.
	Attempts int `json:"attempts"`
	// Examples lists request IDs by violation.
	Examples map[string][]string `json:"examples,omitempty"`
}

// evaluation compares the results of the callers with the targets' logs.
type evaluation struct {
	report   Report
	evidence *Evidence
	leaving  map[string]time.Time
}

// Evaluate returns the report of a run. leaving holds the time at which each
// target was listed as leaving.
func Evaluate(seed uint64, results Results, evidence *Evidence, leaving map[string]time.Time) Report {
	e := &evaluation{evidence: evidence, leaving: leaving, report: Report{
		Seed: seed, Requests: len(results.Requests), BrokenFlows: len(results.BrokenFlows),
		Flows: results.Flows, FailedDials: len(results.FailedDials), Examples: map[string][]string{},
	}}
	for i := range results.Requests {
		e.addRequest(&results.Requests[i])
	}
	e.countLateWork()
	e.addLatenciesAndImbalance(results.Requests)
	return e.report
}

// count increments a counter and stores the request ID as an example of the
// violation.
func (e *evaluation) count(counter *int, violation, id string) {
	*counter++
	if examples := e.report.Examples[violation]; len(examples) < maxExamples {
		e.report.Examples[violation] = append(examples, id)
	}
}

func (e *evaluation) addRequest(r *Result) {
	starts := e.evidence.starts[r.ID]
	last := r.last()
	e.report.Attempts += len(r.Attempts)
	switch r.Outcome {
	case Finished:
		e.report.Finished++
	case Refused:
		e.report.RefusedNotRun++
	default:
		e.count(&e.report.UnknownOutcome, "unknown_outcome", r.ID)
	}
	if r.Outcome == Unknown && !last.Explicit && !last.WrongAnswer || r.Outcome == Finished && !e.logged(r, starts) {
		e.count(&e.report.Lost, "lost", r.ID)
	}
	if r.Method != "GET" && len(starts) > 1 {
		e.count(&e.report.Doubled, "doubled", r.ID)
	}
	if last.WrongAnswer {
		e.count(&e.report.WrongAnswer, "wrong_answer", r.ID)
	}
	if ranAfterNotRun(r, starts) {
		e.count(&e.report.RanAfterNotRun, "ran_after_not_run", r.ID)
	}
	for _, start := range starts {
		if start.Service != r.Service {
			e.count(&e.report.Misrouted, "misrouted", r.ID)
		}
	}
}

// logged reports whether the run of a finished request is in a target's log. A
// ticker has no complete answer, so its start is sufficient.
func (e *evaluation) logged(r *Result, starts []target.Entry) bool {
	if r.Kind == KindTicker {
		return len(starts) > 0
	}
	return e.evidence.complete[r.ID]
}

// ranAfterNotRun reports whether an attempt ran in spite of the verdict NotRun.
// An explicit verdict on an attempt with a ticket holds for every attempt with
// that ticket.
func ranAfterNotRun(r *Result, starts []target.Entry) bool {
	for _, a := range r.Attempts {
		if a.Verdict != verdict.NotRun {
			continue
		}
		if slices.ContainsFunc(starts, func(s target.Entry) bool {
			return s.ID == a.ID || a.Ticket != "" && a.Explicit && s.Key == a.Ticket
		}) {
			return true
		}
	}
	return false
}

func (e *evaluation) countLateWork() {
	for id, starts := range e.evidence.starts {
		for _, start := range starts {
			left, leaves := e.leaving[start.Target]
			if leaves && entryTime(start).After(left.Add(newWorkGrace)) {
				e.count(&e.report.LateWork, "late_work", id)
			}
		}
	}
}

// addLatenciesAndImbalance adds the latencies, the longest ticker gap and the
// imbalance to the report. Files, uploads and tickers are excluded from the
// latencies, because the caller determines their duration.
func (e *evaluation) addLatenciesAndImbalance(requests []Result) {
	latency := newHistogram()
	var from, to time.Time
	for i := range requests {
		r := &requests[i]
		e.report.TickerGapMS = max(e.report.TickerGapMS, float64(r.LongestGap)/float64(time.Millisecond))
		if r.Kind == KindTicker {
			continue
		}
		if from.IsZero() || r.Planned.Before(from) {
			from = r.Planned
		}
		if r.Planned.After(to) {
			to = r.Planned
		}
		record(latency, r)
	}
	e.report.P50MS, e.report.P99MS = valueMS(latency, 50), valueMS(latency, 99)
	e.report.Imbalance = e.evidence.imbalance(from, to, e.leaving, speedWeight)
	e.report.ImbalanceSlots = e.evidence.imbalance(from, to, e.leaving, equalWeight)
}

// P99Between returns the 99th percentile of the latency, in milliseconds, of the
// requests planned at or after from and before to.
func P99Between(requests []Result, from, to time.Time) float64 {
	latency := newHistogram()
	for i := range requests {
		if r := &requests[i]; !r.Planned.Before(from) && r.Planned.Before(to) {
			record(latency, r)
		}
	}
	return valueMS(latency, 99)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyDigits)
}

func record(h *hdrhistogram.Histogram, r *Result) {
	if r.Outcome == Finished && r.Kind != KindFile && r.Kind != KindUpload && r.Kind != KindTicker {
		// RecordValue rejects a latency above latencyMax. Timeouts keep
		// requests below it.
		_ = h.RecordValue(int64(r.Latency() / latencyUnit))
	}
}

func valueMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) * float64(latencyUnit) / float64(time.Millisecond)
}
