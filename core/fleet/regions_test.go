package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a data centre whose region is not known and that serves a route
// with allowed regions, and against other routes that are restricted.
func TestRegionAllowed(t *testing.T) {
	v := New()
	limited, open := testRoute(1, "s"), testRoute(2, "s")
	limited.AllowedRegions = []string{"north", "east", ""}
	v.Apply(0, &Delta{Revision: 3, Config: &Config{Version: 1, Routes: []Route{limited, open}}, ConfigRevision: 3})
	v.SetRegions(map[string]string{"n1": "north", "s1": "south", "x": ""})
	for dataCentre, allowed := range map[string]bool{"n1": true, "s1": false, "x": false, "unknown": false} {
		assert.Equal(t, v.RegionAllowed(limited.Address, dataCentre), allowed, dataCentre)
		assert.Assert(t, v.RegionAllowed(open.Address, dataCentre))
		assert.Assert(t, v.RegionAllowed(testRoute(9, "s").Address, dataCentre))
	}
}
