package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/target"
)

const (
	// lateAfter is how long a leaving target may receive new work.
	lateAfter = 5 * time.Second
	// maxExamples bounds the request IDs per violation in the report.
	maxExamples = 5

	latencyUnit   = time.Microsecond
	latencyMax    = 2 * time.Minute
	latencyDigits = 3
)

// Report is the judgement of a run. The sum of Finished, RefusedNotRun and
// UnknownOutcome is Requests.
type Report struct {
	Seed           uint64 `json:"seed"`
	Requests       int    `json:"requests"`
	Finished       int    `json:"finished"`
	RefusedNotRun  int    `json:"refused_not_run"`
	UnknownOutcome int    `json:"unknown_outcome"`
	// BrokenFlows counts connections and tickers that ended before their
	// caller or target ended them.
	BrokenFlows int `json:"broken_flows"`
	// Lost counts requests that ended without an answer or a verdict, and
	// finished ones that no target has in its log.
	Lost int `json:"lost"`
	// Doubled counts requests that may not be repeated and ran twice.
	Doubled int `json:"doubled"`
	// RanAfterNotRun counts requests that ran although the caller was told
	// that they did not.
	RanAfterNotRun int `json:"ran_after_not_run"`
	// Misrouted counts runs at a target of another service.
	Misrouted   int `json:"misrouted"`
	WrongAnswer int `json:"wrong_answer"`
	// LateWork counts runs that began at a target over 5 s after it was listed
	// as leaving.
	LateWork int `json:"late_work"`
	// Imbalance weights slots with measured speed.
	Imbalance float64 `json:"imbalance"`
	// ImbalanceSlots compares the utilization of slots.
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

// judge compares what callers saw with what targets logged.
type judge struct {
	report   Report
	evidence *Evidence
	leaving  map[string]time.Time
}

// Evaluate returns the report of a run.
func Evaluate(seed uint64, results Results, evidence *Evidence, leaving map[string]time.Time) Report {
	j := &judge{evidence: evidence, leaving: leaving, report: Report{
		Seed: seed, Requests: len(results.Requests), BrokenFlows: len(results.BrokenFlows),
		Flows: results.Flows, FailedDials: len(results.FailedDials), Examples: map[string][]string{},
	}}
	for i := range results.Requests {
		j.request(&results.Requests[i])
	}
	j.lateWork()
	j.times(results.Requests)
	return j.report
}

// count adds one to a figure and keeps the request as an example.
func (j *judge) count(figure *int, name, id string) {
	*figure++
	if examples := j.report.Examples[name]; len(examples) < maxExamples {
		j.report.Examples[name] = append(examples, id)
	}
}

func (j *judge) request(r *Result) {
	starts := j.evidence.starts[r.ID]
	last := r.last()
	j.report.Attempts += len(r.Attempts)
	switch r.Outcome {
	case Finished:
		j.report.Finished++
	case Refused:
		j.report.RefusedNotRun++
	default:
		j.count(&j.report.UnknownOutcome, "unknown_outcome", r.ID)
	}
	if r.Outcome == Unknown && !last.Explicit && !last.WrongAnswer || r.Outcome == Finished && !j.logged(r, starts) {
		j.count(&j.report.Lost, "lost", r.ID)
	}
	if r.Method != "GET" && len(starts) > 1 {
		j.count(&j.report.Doubled, "doubled", r.ID)
	}
	if last.WrongAnswer {
		j.count(&j.report.WrongAnswer, "wrong_answer", r.ID)
	}
	if ranAfterNotRun(r, starts) {
		j.count(&j.report.RanAfterNotRun, "ran_after_not_run", r.ID)
	}
	for _, start := range starts {
		if start.Service != r.Service {
			j.count(&j.report.Misrouted, "misrouted", r.ID)
		}
	}
}

// logged reports whether a target has the run of a finished request in its
// log. A ticker is complete only when its caller ends it.
func (j *judge) logged(r *Result, starts []target.Entry) bool {
	if r.Kind == KindTicker {
		return len(starts) > 0
	}
	return j.evidence.complete[r.ID]
}

// ranAfterNotRun looks for a run of an attempt that was refused. With a ticket,
// the refusal is about every attempt with that ticket.
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

func (j *judge) lateWork() {
	for id, starts := range j.evidence.starts {
		for _, start := range starts {
			left, leaves := j.leaving[start.Target]
			if leaves && at(start).After(left.Add(lateAfter)) {
				j.count(&j.report.LateWork, "late_work", id)
			}
		}
	}
}

// times computes the figures over time. Files, uploads and tickers are left
// out of the latency, because their length is the caller's choice.
func (j *judge) times(requests []Result) {
	latency := newHistogram()
	var from, to time.Time
	for i := range requests {
		r := &requests[i]
		j.report.TickerGapMS = max(j.report.TickerGapMS, float64(r.LongestGap)/float64(time.Millisecond))
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
	j.report.P50MS, j.report.P99MS = valueMS(latency, 50), valueMS(latency, 99)
	j.report.Imbalance = j.evidence.imbalance(from, to, j.leaving, byMeasuredSpeed)
	j.report.ImbalanceSlots = j.evidence.imbalance(from, to, j.leaving, bySlots)
}

// P99Between returns the 99th percentile of the latency of the requests that
// were planned between two times, in milliseconds.
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
		// A latency over the maximum is left out; attempts are bounded below it.
		_ = h.RecordValue(int64(r.Latency() / latencyUnit))
	}
}

func valueMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) * float64(latencyUnit) / float64(time.Millisecond)
}
