package ticket

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilweir.example/core/verdict"
)

// phase is where a holder is with an attempt.
type phase int

const (
	claiming phase = iota
	releasing
	completing
	ended
)

type holder struct {
	ticket  int
	attempt Attempt
	phase   phase
}

// message is a message of a holder to the home, or the reply to its Claim.
type message struct {
	holder *holder
	kind   phase
	reply  *ClaimReply
}

// world is a home, the holders of attempts, and a network that loses,
// duplicates, reorders and delays.
type world struct {
	home    *Home
	id      Identity
	homes   int
	now     time.Duration
	clock   time.Duration
	tickets []Ticket
	runs    map[int]int
	holders []*holder
	network []message
}

// handle is the home's end of a message.
func (w *world) handle(t *rapid.T, m message) {
	ticket, a, at := w.tickets[m.holder.ticket], m.holder.attempt, w.now+w.clock
	notRun := func() {
		if w.runs[m.holder.ticket] != 0 {
			t.Fatalf("ticket %d: verdict not-run after it ran", m.holder.ticket)
		}
	}
	switch m.kind {
	case claiming:
		r := w.home.Claim(at, Claim{ticket, a})
		if r.Verdict == verdict.NotRun {
			notRun()
		}
		if r.Outcome == Done && (w.runs[m.holder.ticket] != 1 || string(r.Answer.Body) != fmt.Sprint(m.holder.ticket)) {
			t.Fatalf("ticket %d: answer %q after %d runs", m.holder.ticket, r.Answer.Body, w.runs[m.holder.ticket])
		}
		w.network = append(w.network, message{holder: m.holder, reply: &r})
	case releasing:
		err := w.home.Release(at, Release{Ticket: ticket, Attempt: a})
		if err == nil {
			notRun()
		}
		if ReleaseSettled(err) {
			m.holder.phase = ended
		}
	case completing:
		err := w.home.Complete(at, Complete{ticket, a, answer(fmt.Sprint(m.holder.ticket))})
		if err != nil && err != ErrExpired {
			t.Fatalf("ticket %d: complete of the one run: %v", m.holder.ticket, err)
		}
		m.holder.phase = ended
	}
}

// answered is the holder's end of a reply. A granted attempt runs, or is
// refused by admission and released.
func (w *world) answered(t *rapid.T, m message) {
	h := m.holder
	if h.phase != claiming {
		return
	}
	if m.reply.Outcome != Granted {
		h.phase = ended
		return
	}
	h.phase = releasing
	if rapid.Bool().Draw(t, "admitted") {
		h.phase = completing
		w.runs[h.ticket]++
		if w.runs[h.ticket] > 1 {
			t.Fatalf("ticket %d ran %d times", h.ticket, w.runs[h.ticket])
		}
	}
	w.network = append(w.network, message{holder: h, kind: h.phase})
}

// TestAtMostOnce guards against a ticket that runs twice, and against a false
// verdict not-run or a wrong kept answer, when callers repeat requests through
// any holder over a bad network, holders give up, and homes stop as planned.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTickets: 3, MaxReleased: 2}
		w := &world{id: identity(1), homes: 1, runs: map[int]int{}}
		w.home = NewHome(w.id, limits)
		pick := func(t *rapid.T, n int, label string) int {
			if n == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, n-1).Draw(t, label)
		}
		deliver := func(t *rapid.T) {
			i := pick(t, len(w.network), "message")
			m := w.network[i]
			if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
				w.network = append(w.network[:i:i], w.network[i+1:]...)
			}
			if m.reply != nil {
				w.answered(t, m)
			} else {
				w.handle(t, m)
			}
		}
		request := func(t *rapid.T) {
			if len(w.tickets) < 4 {
				w.tickets = append(w.tickets, ticketOf(w.id, w.now+w.clock, uint64(len(w.tickets))))
			}
			h := &holder{ticket: pick(t, len(w.tickets), "ticket"), attempt: attempt(len(w.holders))}
			w.holders = append(w.holders, h)
			w.network = append(w.network, message{holder: h, kind: claiming})
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver too": deliver, "deliver more": deliver,
			"request": request, "request again": request,
			"lose": func(t *rapid.T) {
				i := pick(t, len(w.network), "message")
				w.network = append(w.network[:i:i], w.network[i+1:]...)
			},
			"give up": func(t *rapid.T) {
				h := w.holders[pick(t, len(w.holders), "holder")]
				if h.phase == claiming {
					h.phase = releasing
				}
			},
			"send again": func(t *rapid.T) {
				h := w.holders[pick(t, len(w.holders), "holder")]
				if h.phase != ended {
					w.network = append(w.network, message{holder: h, kind: h.phase})
				}
			},
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.SampledFrom([]int{1, 60, 400}).Draw(t, "s")) * time.Second
			},
			"planned stop": func(t *rapid.T) {
				s := w.home.Freeze(w.now + w.clock)
				w.homes++
				w.id = identity(w.homes)
				w.home = NewHome(w.id, limits)
				w.clock = time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock"))*time.Second - w.now
				if err := w.home.Adopt(w.now+w.clock, transfer(t, s)); err != nil {
					t.Fatalf("adopt: %v", err)
				}
			},
		})
	})
}
