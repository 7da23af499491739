package ticket

import (
	"errors"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilweir.example/core/verdict"
)

var (
	oldKey = []byte("0123456789abcdef0123456789abcdef")
	newKey = []byte("fedcba9876543210fedcba9876543210")
	selfID = identity(1)
)

func identity(n int) Identity {
	return Identity{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 7101), uint64(n), 9}
}

// ticketOf returns a ticket that the identity issued.
func ticketOf(id Identity, issued time.Duration, nonce uint64) Ticket {
	return Ticket{id.Address, id.Incarnation, id.Service, issued, nonce}
}

func attempt(n int) Attempt {
	return Attempt{netip.MustParseAddrPort("127.0.0.1:7201"), 5, uint64(n)}
}

func answer(body string) Answer {
	return Answer{Status: 201, Header: []Field{{"Content-Type", "text/plain"}}, Body: []byte(body)}
}

// Guards against accepting forged tickets, and against fields that are lost in
// the encoding.
func TestCodec(t *testing.T) {
	before, err := NewCodec(map[uint8][]byte{0: oldKey}, 0)
	assert.NilError(t, err)
	during, err := NewCodec(map[uint8][]byte{0: oldKey, 200: newKey}, 200)
	assert.NilError(t, err)
	sample := ticketOf(selfID, 90*time.Second, 0xfffffffffffffff0)
	s := before.Issue(sample)
	assert.Equal(t, len(s), Len)
	got, err := during.Parse(s)
	assert.NilError(t, err)
	assert.Equal(t, got, sample)
	_, err = before.Parse(during.Issue(sample))
	assert.Equal(t, err, ErrGeneration)
	for i := range len(s) {
		c := byte('A')
		if s[i] == c {
			c = 'B'
		}
		_, err := before.Parse(s[:i] + string(c) + s[i+1:])
		assert.Assert(t, err != nil, "character %d changed", i)
	}
	for _, bad := range []string{"", "caller-chosen", s[:Len-1], s + "A", strings.Repeat("=", Len), s[:Len-4] + "\r\n\r\n"} {
		_, err := before.Parse(bad)
		assert.Equal(t, err, ErrMalformed, "%q", bad)
	}
	negative := sample
	negative.Issued = -1
	_, err = before.Parse(before.Issue(negative))
	assert.Equal(t, err, ErrMalformed)
	_, err = NewCodec(map[uint8][]byte{0: oldKey[:15]}, 0)
	assert.ErrorContains(t, err, "15 bytes")
	_, err = NewCodec(map[uint8][]byte{0: oldKey}, 1)
	assert.ErrorContains(t, err, "active key generation 1 has no key")
}

// step is one call of a test case and its expected result.
type step struct {
	call    string
	attempt int
	want    any
}

// Guards against a ticket that runs twice, and against a verdict that excludes
// a run that is possible, for each order of Claim, Complete and Release.
func TestAttempts(t *testing.T) {
	reply := func(o Outcome, v verdict.Verdict) ClaimReply { return ClaimReply{Outcome: o, Verdict: v} }
	granted := reply(Granted, verdict.MayHaveRun)
	for name, steps := range map[string][]step{
		"claim is idempotent":         {{"claim", 1, granted}, {"claim", 1, granted}, {"claim", 2, reply(Busy, verdict.MayHaveRun)}},
		"done answers every attempt":  {{"claim", 1, granted}, {"complete", 1, nil}, {"complete", 1, nil}, {"claim", 1, reply(Done, verdict.Ran)}, {"claim", 2, reply(Done, verdict.Ran)}},
		"released is never granted":   {{"claim", 1, granted}, {"release", 1, nil}, {"release", 1, nil}, {"claim", 1, reply(Released, verdict.NotRun)}, {"claim", 2, granted}, {"claim", 1, reply(Released, verdict.MayHaveRun)}},
		"release before claim":        {{"release", 1, nil}, {"claim", 1, reply(Released, verdict.NotRun)}, {"claim", 2, granted}},
		"release of another attempt":  {{"claim", 1, granted}, {"release", 2, ErrRunning}, {"claim", 1, granted}, {"claim", 2, reply(Released, verdict.MayHaveRun)}},
		"release after complete":      {{"claim", 1, granted}, {"complete", 1, nil}, {"release", 1, ErrCompleted}, {"claim", 2, reply(Done, verdict.Ran)}},
		"complete after release":      {{"claim", 1, granted}, {"release", 1, nil}, {"complete", 1, ErrNotGranted}, {"claim", 2, reply(Done, verdict.Ran)}},
		"complete without claim":      {{"complete", 1, ErrNotGranted}, {"claim", 2, reply(Done, verdict.Ran)}},
		"complete of another attempt": {{"claim", 1, granted}, {"complete", 2, ErrNotGranted}, {"complete", 1, ErrCompleted}, {"claim", 3, reply(Done, verdict.Ran)}},
		"too many released": {{"release", 1, nil}, {"release", 2, nil}, {"claim", 3, granted}, {"release", 3, nil},
			{"claim", 3, reply(Exhausted, verdict.NotRun)}, {"claim", 4, reply(Exhausted, verdict.NotRun)}, {"claim", 1, reply(Released, verdict.NotRun)}},
		"holder gone":                  {{"claim", 1, granted}, {"gone", 1, nil}, {"claim", 2, reply(Unknown, verdict.MayHaveRun)}, {"claim", 1, reply(Unknown, verdict.MayHaveRun)}},
		"late complete of gone holder": {{"claim", 1, granted}, {"gone", 1, nil}, {"complete", 1, nil}, {"claim", 2, reply(Done, verdict.Ran)}},
		"late release of gone holder":  {{"claim", 1, granted}, {"gone", 1, nil}, {"release", 1, nil}, {"claim", 2, granted}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(selfID, Limits{MaxReleased: 2})
			tk := ticketOf(selfID, 0, 1)
			for i, s := range steps {
				now, a := time.Duration(i), attempt(s.attempt)
				var got any
				switch s.call {
				case "claim":
					r := h.Claim(now, Claim{tk, a})
					assert.Equal(t, r.Answer != nil, r.Outcome == Done)
					r.Answer = nil
					got = r
				case "complete":
					got = h.Complete(now, Complete{tk, a, answer("x")})
				case "release":
					got = h.Release(now, Release{Ticket: tk, Attempt: a})
				case "gone":
					h.HolderGone(now, func(x Attempt) bool { return x == a })
				}
				assert.Assert(t, got == s.want, "step %d, %s %d: got %v, want %v", i, s.call, s.attempt, got, s.want)
			}
		})
	}
}

// Guards against a ticket that is granted again after its entry was deleted.
func TestExpiry(t *testing.T) {
	h := NewHome(selfID, Limits{Lifetime: time.Minute, AnswerRetention: 10 * time.Second})
	used, unused := ticketOf(selfID, time.Second, 1), ticketOf(selfID, time.Second, 2)
	assert.Equal(t, h.Claim(time.Second, Claim{used, attempt(1)}).Outcome, Granted)
	end := 61 * time.Second
	assert.NilError(t, h.Complete(end-1, Complete{used, attempt(1), answer("late")}))
	for now, want := range map[time.Duration]Outcome{end: Done, end + 8*time.Second: Done} {
		assert.Equal(t, h.Claim(now, Claim{used, attempt(2)}).Outcome, want)
	}
	assert.Equal(t, h.Claim(end, Claim{unused, attempt(3)}).Outcome, Expired)
	assert.Equal(t, h.Release(end, Release{Ticket: unused, Attempt: attempt(3)}), ErrExpired)
	assert.Equal(t, h.Complete(end, Complete{unused, attempt(3), Answer{}}), ErrExpired)
	assert.Equal(t, h.Claim(end+10*time.Second, Claim{used, attempt(2)}).Outcome, Expired)
	assert.Equal(t, h.Stats(), Stats{Origins: 1})
	future := ticketOf(selfID, time.Hour, 3)
	assert.Equal(t, h.Claim(end+10*time.Second, Claim{future, attempt(1)}).Outcome, Expired)
	foreign := ticketOf(identity(2), 0, 1)
	assert.Equal(t, h.Claim(end, Claim{foreign, attempt(1)}).Outcome, NotHome)
	assert.Equal(t, h.Release(end, Release{Ticket: foreign, Attempt: attempt(1)}), ErrNotHome)
}

// Guards against a full table that deletes a used ticket, and against stored
// answers that exceed the memory limits.
func TestLimits(t *testing.T) {
	h := NewHome(selfID, Limits{MaxTickets: 3, MaxAnswerSize: 100, MaxTotalAnswerSize: 150, Lifetime: time.Minute})
	for i, body := range []string{strings.Repeat("x", 60), strings.Repeat("x", 101), strings.Repeat("x", 60)} {
		tk := ticketOf(selfID, 0, uint64(i))
		assert.Equal(t, h.Claim(0, Claim{tk, attempt(i)}).Outcome, Granted)
		assert.NilError(t, h.Complete(0, Complete{tk, attempt(i), answer(body)}))
	}
	extra := ticketOf(selfID, 0, 99)
	assert.Equal(t, h.Claim(0, Claim{extra, attempt(9)}), ClaimReply{Outcome: Full, Verdict: verdict.NotRun})
	assert.Equal(t, h.Release(0, Release{Ticket: extra, Attempt: attempt(9)}), ErrFull)
	assert.Assert(t, !ReleaseSettled(ErrFull) && ReleaseSettled(nil) && ReleaseSettled(ErrExpired))
	for i, kept := range []bool{true, false, false} {
		r := h.Claim(0, Claim{ticketOf(selfID, 0, uint64(i)), attempt(50)})
		assert.Equal(t, r.Outcome, Done)
		assert.Equal(t, r.Answer.StatusOnly, !kept)
		assert.Equal(t, r.Answer.Status, 201)
	}
	h.Tick(time.Hour)
	assert.Equal(t, h.Stats(), Stats{Origins: 1})
}

// roundTrip encodes a snapshot as CBOR and decodes it, as a transfer does.
func roundTrip(t rapid.TB, s Snapshot) (out Snapshot) {
	t.Helper()
	b, err := cbor.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(b, &out))
	return out
}

// Guards against a planned stop after which a ticket runs twice or an answer is
// lost, over two successions with different clocks.
func TestSuccession(t *testing.T) {
	a, b, c := NewHome(identity(1), Limits{}), NewHome(identity(2), Limits{Lifetime: time.Hour}), NewHome(identity(3), Limits{})
	done, running, released, unused := ticketOf(identity(1), 0, 1), ticketOf(identity(1), 0, 2), ticketOf(identity(1), 0, 3), ticketOf(identity(1), 0, 4)
	for i, tk := range []Ticket{done, running, released} {
		assert.Equal(t, a.Claim(time.Minute, Claim{tk, attempt(i)}).Outcome, Granted)
	}
	assert.NilError(t, a.Complete(time.Minute, Complete{done, attempt(0), answer("kept")}))
	assert.NilError(t, a.Release(time.Minute, Release{Ticket: released, Attempt: attempt(2)}))

	assert.Equal(t, a.Offer(identity(2)), ErrCannotOffer, "offered before the freeze")
	s := a.Freeze(time.Minute)
	assert.Equal(t, a.Claim(time.Minute, Claim{unused, attempt(7)}), ClaimReply{Outcome: Moved})
	assert.Equal(t, a.Complete(time.Minute, Complete{running, attempt(1), Answer{}}), ErrFrozen)
	assert.NilError(t, a.Offer(identity(2)))
	assert.Equal(t, a.Offer(identity(3)), ErrCannotOffer, "two successors would grant the same ticket")
	assert.NilError(t, b.Adopt(time.Hour, roundTrip(t, s)))
	a.OfferAccepted(identity(2))
	a.OfferRefused(identity(2))
	assert.Equal(t, a.Offer(identity(3)), ErrCannotOffer)
	assert.Equal(t, a.Claim(time.Minute, Claim{unused, attempt(7)}).Successor, identity(2))

	now := time.Hour + time.Minute
	assert.Equal(t, b.Claim(now, Claim{running, attempt(8)}).Outcome, Busy)
	assert.NilError(t, b.Complete(now, Complete{running, attempt(1), answer("ran there")}))
	assert.NilError(t, b.Adopt(now, roundTrip(t, s)), "a repeated transfer")
	assert.Equal(t, b.Claim(now, Claim{running, attempt(8)}).Outcome, Done, "a repeated transfer undid a run")
	assert.Equal(t, b.Claim(now, Claim{released, attempt(2)}).Outcome, Released)

	assert.NilError(t, c.Adopt(0, roundTrip(t, b.Freeze(now))))
	r := c.Claim(time.Second, Claim{done, attempt(8)})
	assert.Equal(t, string(r.Answer.Body), "kept")
	assert.Equal(t, c.Claim(time.Second, Claim{unused, attempt(8)}).Outcome, Granted)
	// The ticket is 1 min old when a is frozen and 2 min old when b is frozen.
	// The lifetime that a gave it still applies.
	left := DefaultLifetime - 2*time.Minute
	last := ticketOf(identity(1), 0, 5)
	assert.Equal(t, c.Claim(left-1, Claim{last, attempt(9)}).Outcome, Granted)
	assert.Equal(t, c.Claim(left, Claim{last, attempt(9)}).Outcome, Expired)
	assert.Equal(t, c.Freeze(left).Now, left)
	assert.Equal(t, c.Adopt(left, s), ErrFrozen)
}

// Guards against adopting a snapshot that breaks the invariants of the home.
func TestAdoptRefuses(t *testing.T) {
	good := func() Snapshot {
		a := NewHome(identity(1), Limits{})
		for i := range 3 {
			a.Claim(0, Claim{ticketOf(identity(1), 0, uint64(i)), attempt(i)})
		}
		return a.Freeze(time.Second)
	}
	for name, c := range map[string]struct {
		change func(s *Snapshot)
		limits Limits
		want   error
	}{
		"valid":                 {func(*Snapshot) {}, Limits{}, nil},
		"own identity":          {func(s *Snapshot) { s.From, s.Origins[0].ID = identity(2), identity(2) }, Limits{}, ErrInvalidSnapshot},
		"other service":         {func(s *Snapshot) { s.Origins[0].ID.Service = 1 }, Limits{}, ErrInvalidSnapshot},
		"without its origin":    {func(s *Snapshot) { s.From = identity(5) }, Limits{}, ErrInvalidSnapshot},
		"no lifetime":           {func(s *Snapshot) { s.Origins[0].Lifetime = 0 }, Limits{}, ErrInvalidSnapshot},
		"origin twice":          {func(s *Snapshot) { s.Origins = append(s.Origins, s.Origins[0]) }, Limits{}, ErrInvalidSnapshot},
		"ticket twice":          {func(s *Snapshot) { s.Origins[0].Entries[1] = s.Origins[0].Entries[0] }, Limits{}, ErrInvalidSnapshot},
		"forgotten too early":   {func(s *Snapshot) { s.Origins[0].Entries[1].Expires-- }, Limits{}, ErrInvalidSnapshot},
		"running and completed": {func(s *Snapshot) { s.Origins[0].Entries[1].Answer = &Answer{} }, Limits{}, ErrInvalidSnapshot},
		"too many tickets":      {func(*Snapshot) {}, Limits{MaxTickets: 2}, ErrFull},
		"too many origins":      {func(*Snapshot) {}, Limits{MaxOrigins: 1}, ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := good(), NewHome(identity(2), c.limits)
			c.change(&s)
			err := h.Adopt(0, s)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if err != nil {
				assert.Equal(t, h.Stats(), Stats{Origins: 1}, "adopted in part")
			}
		})
	}
}

// Guards against an agent that cannot find the home of a ticket after several
// planned stops, and against records that are overwritten or deleted early.
func TestSuccessions(t *testing.T) {
	s := NewSuccessions(SuccessionLimits{Max: 3})
	record := func(now time.Duration, from, to int) error {
		return s.Record(now, Succession{identity(from), identity(to)})
	}
	_, ok := s.Resolve(0, identity(1))
	assert.Assert(t, !ok)
	assert.NilError(t, record(0, 2, 3))
	assert.NilError(t, record(time.Minute, 1, 2))
	assert.NilError(t, record(time.Minute, 1, 2))
	assert.Equal(t, record(time.Minute, 1, 3), ErrSuccessionConflict)
	assert.Equal(t, record(time.Minute, 4, 4), ErrSuccessionConflict)
	got, ok := s.Resolve(time.Minute, identity(1))
	assert.Assert(t, ok && got == identity(3))
	assert.Equal(t, len(s.Path(time.Minute, identity(1))), 2)
	assert.NilError(t, record(time.Minute, 3, 1))
	_, ok = s.Resolve(time.Minute, identity(1))
	assert.Assert(t, !ok, "a cycle has no last identity")
	assert.Equal(t, record(time.Minute, 7, 8), ErrFull)
	s.Tick(DefaultSuccessionRetention)
	assert.Equal(t, s.Len(), 2)
	assert.Assert(t, DefaultSuccessionRetention > DefaultLifetime)
}

// Guards against a full table that leaves too little of the agent's memory
// budget of 64 MB for everything else.
func TestMemoryOfFullTable(t *testing.T) {
	heapSize := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapSize()
	h := NewHome(selfID, Limits{})
	for i := range DefaultMaxTickets {
		assert.Equal(t, h.Claim(0, Claim{ticketOf(selfID, 0, uint64(i)), attempt(i)}).Outcome, Granted)
	}
	used := heapSize() - before
	t.Logf("slope: %d tickets: %d bytes, %d each", DefaultMaxTickets, used, used/DefaultMaxTickets)
	assert.Assert(t, used+DefaultMaxTotalAnswerSize < 48<<20)
	runtime.KeepAlive(h)
}

func BenchmarkClaimCompleteForget(b *testing.B) {
	h := NewHome(selfID, Limits{Lifetime: time.Second})
	b.ReportAllocs()
	var i time.Duration
	for b.Loop() {
		i++
		now := i * 100 * time.Microsecond
		tk := ticketOf(selfID, now, uint64(i))
		h.Claim(now, Claim{tk, attempt(1)})
		_ = h.Complete(now, Complete{tk, attempt(1), Answer{Status: 200}})
	}
}
