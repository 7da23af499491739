package figure_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/figure"
)

// Guards against a plot that lacks the legend of a target or a mark.
func TestDraw(t *testing.T) {
	samples := []figure.Sample{{At: time.Second, Latency: 30 * time.Millisecond, Target: "booking@a"}, {At: 2 * time.Second, Latency: 40 * time.Millisecond, Target: "booking@b"}}
	marks := []figure.Mark{{At: time.Second, Label: "balancer stops"}}
	dir := t.TempDir()
	for _, name := range []string{"f.svg", "f.png"} {
		assert.NilError(t, figure.Draw(filepath.Join(dir, name), samples, marks))
	}
	svg, err := os.ReadFile(filepath.Join(dir, "f.svg"))
	assert.NilError(t, err)
	for _, want := range []string{"booking@a", "booking@b", "balancer stops"} {
		assert.Assert(t, strings.Contains(string(svg), want), want)
	}
	assert.ErrorContains(t, figure.Draw(filepath.Join(dir, "f.txt"), samples, marks), "ends with .svg or .png")
}
