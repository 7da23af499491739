package confsync

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
	"trefoilweir.example/core/distribution"
	"trefoilweir.example/node/telemetry"
)

func (r *run) perform(a distribution.Action, in input) {
	switch a := a.(type) {
	case distribution.Poll:
		r.startPoll(a)
	case distribution.Query:
		r.spawn(func() { r.query(r.ctx, a) }, distribution.QueryFailed{From: a.To})
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

// spawn runs a task in a goroutine. If the task panics, spawn posts the event
// failed.
func (r *run) spawn(task func(), failed distribution.Event) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		defer func() {
			if p := recover(); p != nil {
				r.counters.panics.Inc()
				r.log.Error("configuration task panicked", zap.Any(telemetry.KeyReason, p), zap.ByteString("stack", debug.Stack()))
				r.post(r.ctx, input{event: failed})
			}
		}()
		task()
	}()
}

// post queues an event for the loop. It gives up when ctx ends.
func (s *Sync) post(ctx context.Context, in input) {
	select {
	case s.events <- in:
	case <-ctx.Done():
	}
}

func (r *run) startPoll(p distribution.Poll) {
	if r.cancelPoll != nil {
		r.cancelPoll()
	}
	pollContext, cancelPoll := context.WithCancel(r.ctx)
	r.cancelPoll = cancelPoll
	r.spawn(func() { r.poll(pollContext, p) }, distribution.PollFailed{ID: p.ID, From: p.From})
	switch {
	case p.From != distribution.Platform && r.cancelVMWatch != nil:
		r.cancelVMWatch()
		r.cancelVMWatch = nil
	case p.From == distribution.Platform && r.cancelVMWatch == nil:
		watchContext, cancelVMWatch := context.WithCancel(r.ctx)
		r.cancelVMWatch = cancelVMWatch
		r.spawn(func() { r.watchVMs(watchContext) }, distribution.Tick{})
	}
}

// adopt makes a fetched configuration the active one.
func (r *run) adopt(next *state) {
	old := r.state.Load()
	st := *next
	st.vms, st.changed = old.vms, make(chan struct{})
	st.parts.keepPrevious(old.parts)
	r.state.Store(&st)
	close(old.changed)
	r.counters.adoptions.Inc()
	r.log.Info("configuration adopted", telemetry.Version(st.head.Version), zap.Stringer(telemetry.KeyHash, st.head.Hash),
		zap.String("preset", st.config.Preset), zap.Uint64("before", old.head.Version))
}

func (r *run) alarm(a distribution.Alarm) {
	r.counters.alarm(a.Kind)
	r.log.Warn("configuration alarm", telemetry.Reason(string(a.Kind)), zap.Stringer("from", a.From), telemetry.Version(a.Head.Version),
		zap.Stringer(telemetry.KeyHash, a.Head.Hash), zap.Uint64("in_force", r.machine.Current().Version))
}
