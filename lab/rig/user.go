package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"trefoilweir.example/lab/packets"
)

// user makes the requests of one caller, one at a time.
type user struct {
	*System
	Load
	caller    *packets.Caller
	recorder  *recorder
	name      string
	service   *Service
	keepsFlow bool
	seed      uint64

	flow         *packets.Flow
	requestCount int
}

func (u *user) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(u.seed, 2))
	for ctx.Err() == nil {
		pause := time.Duration(random.ExpFloat64() * float64(u.MeanPause))
		select {
		case <-ctx.Done():
		case <-time.After(min(pause, 4*u.MeanPause)):
			u.makeRequest(random)
		}
	}
	if u.flow != nil {
		u.flow.Close()
	}
}

// makeRequest makes one request with its attempts. It retries a request that may
// not be repeated only if the request certainly did not run.
func (u *user) makeRequest(random *rand.Rand) {
	const repeatableShare = 0.7
	u.requestCount++
	repeatable := u.keepsFlow || random.Float64() < repeatableShare
	begin := time.Now()
	deadline := begin.Add(u.Timeout)
	outcome, target := packets.TimedOut, ""
	for attempt := 0; attempt <= u.Retries && time.Now().Before(deadline); attempt++ {
		r := packets.Request{
			ID: fmt.Sprintf("%s-%d-%d", u.name, u.requestCount, attempt), Service: u.service.Name, KeepOpen: u.keepsFlow,
			WorkMS: u.WorkMS * (0.5 + random.Float64()), AnswerSize: 200 + random.IntN(8000),
		}
		outcome, target = u.attempt(r, deadline, repeatable)
		if outcome == packets.Answered || !repeatable && outcome != packets.NotRun && outcome != packets.NotOpened {
			break
		}
	}
	u.recorder.add(outcome, target, time.Since(begin))
}

func (u *user) attempt(r packets.Request, deadline time.Time, repeatable bool) (packets.Outcome, string) {
	f, outcome := u.open(deadline)
	if outcome != packets.Answered {
		u.Journal.CheckResult(f, r, packets.Result{Outcome: outcome}, repeatable)
		return outcome, ""
	}
	result := f.Do(r, deadline)
	u.Journal.CheckResult(f, r, result, repeatable)
	if u.keepsFlow && result.Outcome != packets.Answered {
		f.Close()
		u.flow = nil
	}
	return result.Outcome, result.Target
}

// open returns the open flow of a user that keeps one, or opens a new flow.
func (u *user) open(deadline time.Time) (*packets.Flow, packets.Outcome) {
	if u.keepsFlow && u.flow != nil && u.flow.Usable() {
		return u.flow, packets.Answered
	}
	f, outcome := u.caller.Open(u.service.Address, deadline)
	u.flow = nil
	if u.keepsFlow && outcome == packets.Answered {
		u.flow = f
	}
	return f, outcome
}
