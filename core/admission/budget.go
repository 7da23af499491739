package admission

import "time"

const (
	// budgetWindow is the number of whole seconds a budget looks back.
	budgetWindow = 10
	// budgetFloor is the number of retries per second that is always allowed.
	budgetFloor = 1
)

// budget bounds retries to a share of the requests of the last 10 s. Requests
// are counted over at most, and retries over at least, that time, so that the
// bound also holds at the edges of the one-second cells.
type budget struct {
	cells  [budgetWindow + 1]budgetCell
	second int64
}

type budgetCell struct{ requests, retries int }

func (b *budget) cell(now time.Duration) *budgetCell {
	s := int64(now / time.Second)
	for b.second < s {
		b.second++
		if s-b.second > budgetWindow {
			b.second = s - budgetWindow
		}
		b.cells[b.second%int64(len(b.cells))] = budgetCell{}
	}
	return &b.cells[b.second%int64(len(b.cells))]
}

func (b *budget) request(now time.Duration) { b.cell(now).requests++ }

// take spends one retry, if the budget allows it.
func (b *budget) take(now time.Duration, percent int) bool {
	current := b.cell(now)
	oldest := b.cells[(b.second+1)%int64(len(b.cells))].requests
	requests, retries := -oldest, 0
	for _, c := range b.cells {
		requests += c.requests
		retries += c.retries
	}
	if retries >= max(requests*percent/100, budgetWindow*budgetFloor) {
		return false
	}
	current.retries++
	return true
}
