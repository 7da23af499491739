package ticket

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilweir.example/core/verdict"
)

// phase is the step of the protocol that a holder has reached.
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

// system is a home, the holders of attempts, and a network that loses,
// duplicates, reorders and delays messages.
type system struct {
	home        *Home
	id          Identity
	homeCount   int
	now         time.Duration
	clockOffset time.Duration
	tickets     []Ticket
	runs        map[int]int
	holders     []*holder
	network     []message
}

// deliverToHome delivers a message of a holder to the home and checks the
// result.
func (sys *system) deliverToHome(t *rapid.T, m message) {
	ticket, a, at := sys.tickets[m.holder.ticket], m.holder.attempt, sys.now+sys.clockOffset
	notRun := func() {
		if sys.runs[m.holder.ticket] != 0 {
			t.Fatalf("ticket %d: verdict not-run although it ran", m.holder.ticket)
		}
	}
	switch m.kind {
	case claiming:
		r := sys.home.Claim(at, Claim{ticket, a})
		if r.Verdict == verdict.NotRun {
			notRun()
		}
		if r.Outcome == Done && (sys.runs[m.holder.ticket] != 1 || string(r.Answer.Body) != fmt.Sprint(m.holder.ticket)) {
			t.Fatalf("ticket %d: answer %q after %d runs", m.holder.ticket, r.Answer.Body, sys.runs[m.holder.ticket])
		}
		sys.network = append(sys.network, message{holder: m.holder, reply: &r})
	case releasing:
		err := sys.home.Release(at, Release{Ticket: ticket, Attempt: a})
		if err == nil {
			notRun()
		}
		if ReleaseSettled(err) {
			m.holder.phase = ended
		}
	case completing:
		err := sys.home.Complete(at, Complete{ticket, a, answer(fmt.Sprint(m.holder.ticket))})
		if err != nil && err != ErrExpired {
			t.Fatalf("ticket %d: complete of its only run: %v", m.holder.ticket, err)
		}
		m.holder.phase = ended
	}
}

// deliverReply delivers the reply to a Claim to its holder. A granted attempt
// runs, or is refused by admission and released.
func (sys *system) deliverReply(t *rapid.T, m message) {
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
		sys.runs[h.ticket]++
		if sys.runs[h.ticket] > 1 {
			t.Fatalf("ticket %d ran %d times", h.ticket, sys.runs[h.ticket])
		}
	}
	sys.network = append(sys.network, message{holder: h, kind: h.phase})
}

// TestAtMostOnce guards against a ticket that runs twice, a false verdict
// not-run, and a wrong stored answer. Callers repeat requests through several
// holders over a faulty network, holders give up, and homes make planned stops.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTickets: 3, MaxReleased: 2}
		sys := &system{id: identity(1), homeCount: 1, runs: map[int]int{}}
		sys.home = NewHome(sys.id, limits)
		pick := func(t *rapid.T, n int, label string) int {
			if n == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, n-1).Draw(t, label)
		}
		deliver := func(t *rapid.T) {
			i := pick(t, len(sys.network), "message")
			m := sys.network[i]
			if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
				sys.network = append(sys.network[:i:i], sys.network[i+1:]...)
			}
			if m.reply != nil {
				sys.deliverReply(t, m)
			} else {
				sys.deliverToHome(t, m)
			}
		}
		request := func(t *rapid.T) {
			if len(sys.tickets) < 4 {
				sys.tickets = append(sys.tickets, ticketOf(sys.id, sys.now+sys.clockOffset, uint64(len(sys.tickets))))
			}
			h := &holder{ticket: pick(t, len(sys.tickets), "ticket"), attempt: attempt(len(sys.holders))}
			sys.holders = append(sys.holders, h)
			sys.network = append(sys.network, message{holder: h, kind: claiming})
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver too": deliver, "deliver more": deliver,
			"request": request, "request again": request,
			"lose": func(t *rapid.T) {
				i := pick(t, len(sys.network), "message")
				sys.network = append(sys.network[:i:i], sys.network[i+1:]...)
			},
			"give up": func(t *rapid.T) {
				h := sys.holders[pick(t, len(sys.holders), "holder")]
				if h.phase == claiming {
					h.phase = releasing
				}
			},
			"send again": func(t *rapid.T) {
				h := sys.holders[pick(t, len(sys.holders), "holder")]
				if h.phase != ended {
					sys.network = append(sys.network, message{holder: h, kind: h.phase})
				}
			},
			"wait": func(t *rapid.T) {
				sys.now += time.Duration(rapid.SampledFrom([]int{1, 60, 400}).Draw(t, "s")) * time.Second
			},
			"planned stop": func(t *rapid.T) {
				s := sys.home.Freeze(sys.now + sys.clockOffset)
				sys.homeCount++
				sys.id = identity(sys.homeCount)
				sys.home = NewHome(sys.id, limits)
				sys.clockOffset = time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock"))*time.Second - sys.now
				if err := sys.home.Adopt(sys.now+sys.clockOffset, roundTrip(t, s)); err != nil {
					t.Fatalf("adopt: %v", err)
				}
			},
		})
	})
}
