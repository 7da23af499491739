package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPatchCarriesServices guards against a view that goes on to use the
// services of an earlier version, or forgets them, after a patch.
func TestPatchCarriesServices(t *testing.T) {
	base := &Config{Version: 1, Services: []Service{{Name: "web"}}}
	same := &Config{Version: 2, Services: []Service{{Name: "web"}}}
	changed := &Config{Version: 3, Services: []Service{{Name: "web", WarmupPerSecond: 5}, {Name: "files"}}}
	unknown := &Config{Version: 4}
	assert.Equal(t, len(Diff(base, same).Services), 0)
	for _, to := range []*Config{same, changed, unknown} {
		assert.DeepEqual(t, Diff(base, to).Apply(base).Services, to.Services)
	}
}
