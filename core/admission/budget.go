package admission

import "time"

const (
	// budgetWindow is the window of the budget, in seconds.
	budgetWindow = 10
	// budgetFloor is the number of retries per second that are always allowed.
	budgetFloor = 1
)

// budget limits retries to a share of the requests of the last 10 s. It counts
// requests over at most that window and retries over at least that window, so
// that the limit holds wherever the window begins within a one-second bucket.
type budget struct {
	buckets [budgetWindow + 1]budgetBucket
	second  int64
}

type budgetBucket struct{ requests, retries int }

func (b *budget) bucket(now time.Duration) *budgetBucket {
	s := int64(now / time.Second)
	for b.second < s {
		b.second++
		if s-b.second > budgetWindow {
			b.second = s - budgetWindow
		}
		b.buckets[b.second%int64(len(b.buckets))] = budgetBucket{}
	}
	return &b.buckets[b.second%int64(len(b.buckets))]
}

func (b *budget) request(now time.Duration) { b.bucket(now).requests++ }

// take counts one retry if the budget allows it, and reports whether it does.
func (b *budget) take(now time.Duration, percent int) bool {
	current := b.bucket(now)
	oldest := b.buckets[(b.second+1)%int64(len(b.buckets))].requests
	requests, retries := -oldest, 0
	for _, c := range b.buckets {
		requests += c.requests
		retries += c.retries
	}
	if retries >= max(requests*percent/100, budgetWindow*budgetFloor) {
		return false
	}
	current.retries++
	return true
}
