package ticket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/verdict"
)

// Guards against a delayed Claim of an older attempt that is granted after the
// caller was told that the request did not run, also by a successor.
func TestFinalReleaseClosesTicket(t *testing.T) {
	h := NewHome(selfID, Limits{})
	k := ticketOf(selfID, 0, 1)
	assert.Equal(t, h.Claim(time.Second, Claim{k, attempt(2)}).Outcome, Granted)
	assert.NilError(t, h.Release(time.Second, Release{Ticket: k, Attempt: attempt(2), Final: true}))
	want := ClaimReply{Outcome: Closed, Verdict: verdict.NotRun}
	assert.Equal(t, h.Claim(2*time.Second, Claim{k, attempt(1)}), want)

	successor := NewHome(identity(2), Limits{})
	assert.NilError(t, successor.Adopt(time.Second, h.Freeze(3*time.Second)))
	assert.Equal(t, successor.Claim(2*time.Second, Claim{k, attempt(3)}), want)
}

// Guards against a final Release that closes a ticket while another attempt
// runs, so that the ticket is reported as not run.
func TestFinalReleaseOfOtherAttempt(t *testing.T) {
	h := NewHome(selfID, Limits{})
	k := ticketOf(selfID, 0, 1)
	assert.Equal(t, h.Claim(time.Second, Claim{k, attempt(1)}).Outcome, Granted)
	assert.Equal(t, h.Release(time.Second, Release{Ticket: k, Attempt: attempt(2), Final: true}), ErrRunning)
	assert.Equal(t, h.Claim(time.Second, Claim{k, attempt(1)}).Outcome, Granted)
	assert.Equal(t, h.Claim(time.Second, Claim{k, attempt(3)}).Outcome, Busy)
}
