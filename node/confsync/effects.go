package confsync

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
	"trefoilweir.example/core/distribution"
	"trefoilweir.example/node/telemetry"
)

func (r *run) do(a distribution.Action, in input) {
	switch a := a.(type) {
	case distribution.Poll:
		r.startPoll(a)
	case distribution.Query:
		r.spawn(func() { r.ask(r.ctx, a) }, distribution.QueryFailed{From: a.To})
	case distribution.Fetch:
		r.spawn(func() { r.fetch(r.ctx, a) }, distribution.FetchFailed(a))
	case distribution.Adopt:
		r.adopt(in.fetched)
	case distribution.Ready:
		r.log.Info("configuration is ready", telemetry.Version(r.machine.Current().Version))
		closeOnce(r.ready)
	case distribution.Alarm:
		r.alarm(a)
	}
}

// spawn runs a task. A task that panics counts as failed.
func (r *run) spawn(task func(), failed distribution.Event) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		defer func() {
			if p := recover(); p != nil {
				r.meters.panics.Inc()
				r.log.Error("configuration task panicked", zap.Any(telemetry.KeyReason, p), zap.ByteString("stack", debug.Stack()))
				r.post(r.ctx, input{event: failed})
			}
		}()
		task()
	}()
}

// post hands an event to the loop.
func (s *Sync) post(ctx context.Context, in input) {
	select {
	case s.events <- in:
	case <-ctx.Done():
	}
}

func (r *run) startPoll(p distribution.Poll) {
	if r.endPoll != nil {
		r.endPoll()
	}
	pollContext, endPoll := context.WithCancel(r.ctx)
	r.endPoll = endPoll
	r.spawn(func() { r.poll(pollContext, p) }, distribution.PollFailed{ID: p.ID, From: p.From})
	switch {
	case p.From != distribution.Platform && r.endVMs != nil:
		r.endVMs()
		r.endVMs = nil
	case p.From == distribution.Platform && r.endVMs == nil:
		watchContext, endVMs := context.WithCancel(r.ctx)
		r.endVMs = endVMs
		r.spawn(func() { r.watchVMs(watchContext) }, distribution.Tick{})
	}
}

// adopt puts a configuration in force.
func (r *run) adopt(next *state) {
	old := r.state.Load()
	st := *next
	st.vms, st.changed = old.vms, make(chan struct{})
	st.parts.keepOld(old.parts)
	r.state.Store(&st)
	close(old.changed)
	r.meters.adoptions.Inc()
	r.log.Info("configuration adopted", telemetry.Version(st.head.Version), zap.Stringer(telemetry.KeyHash, st.head.Hash),
		zap.String("preset", st.config.Preset), zap.Uint64("before", old.head.Version))
}

func (r *run) alarm(a distribution.Alarm) {
	r.meters.alarm(a.Kind)
	r.log.Warn("configuration alarm", telemetry.Reason(string(a.Kind)), zap.Stringer("from", a.From), telemetry.Version(a.Head.Version),
		zap.Stringer(telemetry.KeyHash, a.Head.Hash), zap.Uint64("in_force", r.machine.Current().Version))
}
