package ticket

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilweir.example/core/verdict"
)

// naiveTicket is the reference model of a ticket. It never deletes anything.
type naiveTicket struct {
	ticket     Ticket
	expires    time.Duration
	used       bool
	released   map[Attempt]bool
	exhausted  bool
	running    *Attempt
	holderGone bool
	done       *Attempt
	body       string
}

func (n *naiveTicket) verdict() verdict.Verdict {
	switch {
	case n.done != nil:
		return verdict.Ran
	case n.running != nil:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// claim returns the expected outcome and verdict of a Claim.
func (n *naiveTicket) claim(now time.Duration, a Attempt, full bool) (Outcome, verdict.Verdict) {
	switch {
	case n.done != nil && now < n.expires:
		return Done, verdict.Ran
	case now >= n.expires:
		return Expired, verdict.MayHaveRun
	case n.released[a]:
		return Released, n.verdict()
	case n.running != nil && n.holderGone:
		return Unknown, verdict.MayHaveRun
	case n.running != nil && *n.running == a:
		return Granted, verdict.MayHaveRun
	case n.running != nil:
		return Busy, verdict.MayHaveRun
	case n.exhausted:
		return Exhausted, verdict.NotRun
	case !n.used && full:
		return Full, verdict.NotRun
	}
	n.used, n.running, n.holderGone = true, &a, false
	return Granted, verdict.MayHaveRun
}

func (n *naiveTicket) complete(now time.Duration, a Attempt, body string, full bool) error {
	switch {
	case now >= n.expires:
		return ErrExpired
	case n.done != nil && *n.done == a:
		return nil
	case n.done != nil:
		return ErrCompleted
	case !n.used && full:
		return ErrFull
	}
	granted := n.running != nil && *n.running == a
	n.used, n.running, n.done, n.body = true, nil, &a, body
	n.expires = max(n.expires, now+DefaultAnswerRetention)
	if !granted {
		return ErrNotGranted
	}
	return nil
}

func (n *naiveTicket) release(now time.Duration, a Attempt, maxReleased int, full bool) error {
	switch {
	case now >= n.expires:
		return ErrExpired
	case !n.used && full:
		return ErrFull
	case n.done != nil:
		return ErrCompleted
	}
	n.used = true
	if n.running != nil && *n.running == a {
		n.running = nil
	}
	if !n.released[a] && len(n.released) == maxReleased {
		n.exhausted = true
	} else {
		n.released[a] = true
	}
	if n.running != nil {
		return ErrRunning
	}
	return nil
}

// TestHomeAgainstNaive guards against a home that breaks its invariants when
// messages are lost, duplicated or reordered (any call may come at any time and
// be repeated), when its table is full, when time jumps, and across planned
// stops with different clocks and transfers that take time.
func TestHomeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTickets: rapid.IntRange(1, 6).Draw(t, "max"), MaxReleased: rapid.IntRange(1, 3).Draw(t, "room")}
		id, homeCount := identity(1), 1
		h := NewHome(id, limits)
		// now is the time that counts for tickets. It does not advance during
		// a transfer. The clock of the current home is now plus clockOffset.
		var now, clockOffset time.Duration
		var tickets []*naiveTicket
		full := func() bool {
			n := 0
			for _, x := range tickets {
				if x.used && now < x.expires {
					n++
				}
			}
			return n >= limits.MaxTickets
		}
		draw := func(t *rapid.T) (*naiveTicket, Attempt) {
			if len(tickets) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(tickets).Draw(t, "ticket"), attempt(rapid.IntRange(1, 5).Draw(t, "attempt"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				tickets = append(tickets, &naiveTicket{ticket: ticketOf(id, now+clockOffset, uint64(len(tickets))),
					expires: now + DefaultLifetime, released: map[Attempt]bool{}})
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{1, 30, 60, 300, 599, 600}).Draw(t, "s")) * time.Second
			},
			"claim": func(t *rapid.T) {
				x, a := draw(t)
				got := h.Claim(now+clockOffset, Claim{x.ticket, a})
				want, v := x.claim(now, a, full())
				if got.Outcome != want || got.Verdict != v {
					t.Fatalf("claim: %v, %v, want %v, %v", got.Outcome, got.Verdict, want, v)
				}
				if want == Done && string(got.Answer.Body) != x.body {
					t.Fatalf("answer %q, want %q", got.Answer.Body, x.body)
				}
			},
			"complete": func(t *rapid.T) {
				x, a := draw(t)
				body := fmt.Sprint(a.Number)
				got, want := h.Complete(now+clockOffset, Complete{x.ticket, a, answer(body)}), x.complete(now, a, body, full())
				if !errors.Is(got, want) {
					t.Fatalf("complete: %v, want %v", got, want)
				}
			},
			"release": func(t *rapid.T) {
				x, a := draw(t)
				got, want := h.Release(now+clockOffset, Release{Ticket: x.ticket, Attempt: a}), x.release(now, a, limits.MaxReleased, full())
				if !errors.Is(got, want) {
					t.Fatalf("release: %v, want %v", got, want)
				}
			},
			"holder gone": func(t *rapid.T) {
				_, a := draw(t)
				h.HolderGone(now+clockOffset, func(x Attempt) bool { return x == a })
				for _, x := range tickets {
					x.holderGone = x.holderGone && x.running != nil || x.running != nil && *x.running == a
				}
			},
			"planned stop": func(t *rapid.T) {
				s := h.Freeze(now + clockOffset)
				if r := h.Claim(now+clockOffset, Claim{ticketOf(id, 0, 0), attempt(1)}); r.Outcome != Moved {
					t.Fatalf("granted after the freeze: %v", r.Outcome)
				}
				homeCount++
				id = identity(homeCount)
				h = NewHome(id, limits)
				clockOffset = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "clock")) - now
				for range 2 {
					if err := h.Adopt(now+clockOffset, roundTrip(t, s)); err != nil {
						t.Fatalf("adopt: %v", err)
					}
				}
			},
		})
	})
}
