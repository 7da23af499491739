package system

import (
	"context"

	"github.com/gravitational/trace"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/lab/load"
)

// LoadOutcome is the outcome of a load run. Report and Evidence are set only if
// Err is nil.
type LoadOutcome struct {
	Report   load.Report
	Results  load.Results
	Evidence *load.Evidence
	Err      error
}

// StartLoad runs callers against all services in the background. The channel
// receives one outcome at the end of the load.
func (s *System) StartLoad(ctx context.Context, options load.Options) <-chan LoadOutcome {
	options.CAFile = s.Plan.Path(layout.KeysDir, "ca.pem")
	for _, service := range s.Plan.Services {
		options.Services = append(options.Services, load.Service{
			Name: service.Name, Address: s.Plan.ServiceAddress(service), Weight: service.Targets,
		})
	}
	done := make(chan LoadOutcome, 1)
	go func() {
		results, err := load.Run(ctx, options)
		outcome := LoadOutcome{Results: results, Err: err}
		if err == nil {
			outcome.Err = s.judgeLoad(options.Seed, &outcome)
		}
		done <- outcome
	}()
	return done
}

func (s *System) judgeLoad(seed uint64, outcome *LoadOutcome) error {
	evidence, err := load.ReadEvidence(s.Plan.Path(layout.LogDir, "*.jsonl"))
	if err != nil {
		return trace.Wrap(err)
	}
	leaving, err := load.ReadLeaving(s.Plan.Path(layout.LeavingFile))
	if err != nil {
		return trace.Wrap(err)
	}
	outcome.Evidence = evidence
	outcome.Report = load.Evaluate(seed, outcome.Results, evidence, leaving)
	return nil
}
