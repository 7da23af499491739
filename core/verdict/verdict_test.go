package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/verdict"
)

// Guards against an error without a verdict being read as "not run".
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	assert.Equal(t, verdict.Of(errors.New("read: connection reset")), verdict.MayHaveRun)
	assert.Equal(t, verdict.Of(nil), verdict.Ran)
	wrapped := fmt.Errorf("run: %w", &verdict.Error{Verdict: verdict.NotRun, Reason: "queue_full"})
	assert.Equal(t, verdict.Of(wrapped), verdict.NotRun)
}

// Guards against header values that do not survive a round trip.
func TestParseRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		got, ok := verdict.Parse(v.String())
		assert.Assert(t, ok)
		assert.Equal(t, got, v)
	}
	got, ok := verdict.Parse("no")
	assert.Assert(t, !ok)
	assert.Equal(t, got, verdict.MayHaveRun)
}
