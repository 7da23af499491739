package agent

import (
	"context"
	"sync"
	"time"
)

// answerTimer cancels an attempt whose answer does not begin within limit. Each
// piece of the request body that is sent restarts the timer.
type answerTimer struct {
	limit time.Duration
	// timer is nil if there is no limit.
	timer *time.Timer

	mu      sync.Mutex
	stopped bool
	expired bool
}

func newAnswerTimer(limit time.Duration, cancel context.CancelFunc) *answerTimer {
	t := &answerTimer{limit: limit}
	if limit <= 0 {
		return t
	}
	t.timer = time.AfterFunc(limit, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.stopped {
			t.expired = true
			cancel()
		}
	})
	return t
}

// restart resets the timer to the full limit.
func (t *answerTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.stopped && !t.expired {
		t.timer.Reset(t.limit)
	}
}

// stop stops the timer and reports whether the answer began in time.
func (t *answerTimer) stop() (inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return !t.expired
}
