package agent

import (
	"context"
	"sync"
	"time"
)

// answerWait ends an attempt whose answer does not begin in time. A body that
// is still being sent starts the time again.
type answerWait struct {
	limit time.Duration
	// timer is nil if there is no limit.
	timer *time.Timer

	mu      sync.Mutex
	ended   bool
	expired bool
}

func newAnswerWait(limit time.Duration, cancel context.CancelFunc) *answerWait {
	w := &answerWait{limit: limit}
	if limit <= 0 {
		return w
	}
	w.timer = time.AfterFunc(limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended {
			w.expired = true
			cancel()
		}
	})
	return w
}

// restart begins the time anew.
func (w *answerWait) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.ended && !w.expired {
		w.timer.Reset(w.limit)
	}
}

// end stops the time and reports whether the answer came in time.
func (w *answerWait) end() (inTime bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.expired
}
