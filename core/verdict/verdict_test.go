package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/verdict"
)

// TestOfDefaultsToMayHaveRun guards against an error without a verdict that
// is read as NotRun.
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	assert.Equal(t, verdict.Of(errors.New("read: connection reset")), verdict.MayHaveRun)
	assert.Equal(t, verdict.Of(nil), verdict.Ran)
	wrapped := fmt.Errorf("run: %w", &verdict.Error{Verdict: verdict.NotRun, Reason: "queue_full"})
	assert.Equal(t, verdict.Of(wrapped), verdict.NotRun)
}

// TestParseRoundTrip guards against verdicts that change when they are written
// to a header and parsed again.
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
