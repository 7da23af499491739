package load

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Check returns an error that names every rule that the report violates.
// maxUnknown and maxRefused limit the requests with an unknown outcome and the
// refused requests: both outcomes are correct but undesired.
func (r *Report) Check(maxUnknown, maxRefused int) error {
	var faults []error
	for _, rule := range []struct {
		name  string
		value int
		limit int
	}{
		{"broken_flows", r.BrokenFlows, 0},
		{"lost", r.Lost, 0},
		{"doubled", r.Doubled, 0},
		{"ran_after_not_run", r.RanAfterNotRun, 0},
		{"misrouted", r.Misrouted, 0},
		{"wrong_answer", r.WrongAnswer, 0},
		{"late_work", r.LateWork, 0},
		{"unknown_outcome", r.UnknownOutcome, maxUnknown},
		{"refused_not_run", r.RefusedNotRun, maxRefused},
	} {
		if rule.value > rule.limit {
			faults = append(faults, fmt.Errorf("%s is %d, the limit is %d", rule.name, rule.value, rule.limit))
		}
	}
	if sum := r.Finished + r.RefusedNotRun + r.UnknownOutcome; sum != r.Requests {
		faults = append(faults, fmt.Errorf("the sum of the outcomes is %d, the number of requests is %d", sum, r.Requests))
	}
	if r.Finished == 0 {
		faults = append(faults, fmt.Errorf("no request finished"))
	}
	return trace.NewAggregate(faults...)
}
