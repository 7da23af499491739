package fleet

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// Guards against an entry of another writer with numbers, names or addresses that no
// target has, which every process then multiplies, sends or calls.
func TestUnusableTargets(t *testing.T) {
	assert.NilError(t, target("a", 1, Ready, 1).CheckUsable())
	for name, c := range map[string]struct {
		change func(*Target)
		field  string
	}{
		"no slots":          {func(x *Target) { x.Slots = 0 }, "slots"},
		"negative slots":    {func(x *Target) { x.Slots = math.MinInt }, "slots"},
		"more slots":        {func(x *Target) { x.Slots = 1 << 16 }, "slots"},
		"most slots":        {func(x *Target) { x.Slots = math.MaxInt }, "slots"},
		"negative warm-up":  {func(x *Target) { x.WarmupMS = -1 }, "warmup_ms"},
		"endless warm-up":   {func(x *Target) { x.WarmupMS = math.MaxInt }, "warmup_ms"},
		"no service":        {func(x *Target) { x.Service = "" }, "service"},
		"long service":      {func(x *Target) { x.Service = strings.Repeat("s", 1<<20) }, "service"},
		"no data centre":    {func(x *Target) { x.DataCentre = "" }, "data_centre"},
		"long data centre":  {func(x *Target) { x.DataCentre = strings.Repeat("d", 254) }, "data_centre"},
		"no port":           {func(x *Target) { x.Address = netip.MustParseAddrPort("10.0.0.1:0") }, "address"},
		"any address":       {func(x *Target) { x.Address = netip.MustParseAddrPort("0.0.0.0:80") }, "address"},
		"multicast address": {func(x *Target) { x.Address = netip.MustParseAddrPort("224.0.0.1:80") }, "address"},
		"broadcast address": {func(x *Target) { x.Address = netip.MustParseAddrPort("255.255.255.255:80") }, "address"},
		"IPv6 address":      {func(x *Target) { x.Address = netip.MustParseAddrPort("[::1]:80") }, "address"},
	} {
		x := target("a", 1, Ready, 1)
		c.change(x)
		assert.ErrorContains(t, x.CheckUsable(), c.field, name)
	}
}

// Guards against a copy of an entry with a start far in the future that hides the
// report of the running target at its address, for example that it drains.
func TestStartFarAheadHidesNothing(t *testing.T) {
	for _, start := range []int64{math.MaxInt64, math.MinInt64, -1, noon.Add(25 * time.Hour).UnixMilli()} {
		for _, revisions := range [][2]uint64{{3, 4}, {4, 3}} {
			copied := target("x", 1, Ready, start)
			copied.ClearImplausibleStart(noon)
			assert.Equal(t, copied.StartUnixMS, int64(0))
			v := New()
			v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: revisions[0], Target: target("a", 1, Draining, noon.UnixMilli())}, {ID: "x", Revision: revisions[1], Target: copied}}})
			assert.Equal(t, ids(v.Targets("booking")), "a")
			assert.Equal(t, len(v.ReadyTargets("booking")), 0)
		}
	}
	// Clocks differ by seconds, and a target may have started just now.
	for _, start := range []int64{0, 1, noon.UnixMilli(), noon.Add(time.Minute).UnixMilli()} {
		x := target("a", 1, Ready, start)
		x.ClearImplausibleStart(noon)
		assert.Equal(t, x.StartUnixMS, start)
	}
}

// Guards against an unusable target that a peer of an earlier release tells: the
// delta must lose just this one.
func TestUnusableTargetsOfAPeer(t *testing.T) {
	odd := target("x", 2, Ready, 1)
	odd.Slots = math.MaxInt
	late := target("b", 3, Ready, math.MaxInt64)
	d := &Delta{Revision: 6, Changes: []Change{
		{ID: "a", Revision: 4, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 3, Target: late},
		{ID: "x", Revision: 5, Target: odd}, {ID: "y", Revision: 6, Last: odd, RemovedMS: 5},
	}}
	assert.NilError(t, d.Validate())
	assert.Equal(t, d.DropUnusableTargets(noon), 2)
	v := New()
	v.Apply(0, d)
	assert.Equal(t, ids(v.Targets("booking")), "ab")
	assert.Equal(t, len(v.RemovedTargets("booking")), 0)
	assert.Equal(t, v.Targets("booking")[1].StartUnixMS, int64(0))
	assert.Equal(t, v.Revision(), uint64(6))
}

// Guards against copies of the entry of a target that hide its draining report,
// whatever they say and whenever they are written and removed.
func TestCopiesOfADrainingEntry(t *testing.T) {
	const start = 100
	copies := map[string]func(*Target){
		"same":               func(*Target) {},
		"unknown zone":       func(x *Target) { x.DataCentre = "elsewhere" },
		"no start":           func(x *Target) { x.StartUnixMS = 0 },
		"earlier start":      func(x *Target) { x.StartUnixMS = start - 1 },
		"start in far years": func(x *Target) { x.StartUnixMS = math.MaxInt64 },
		"more slots":         func(x *Target) { x.Slots = maxSlots },
		"warming up":         func(x *Target) { x.WarmupMS = 5000 },
		"unnamed service":    func(x *Target) { x.Service = "stalls" },
	}
	ready, draining := target("a", 1, Ready, start), target("a", 1, Draining, start)
	for name, change := range copies {
		copied := target("x", 1, Ready, start)
		change(copied)
		copied.ClearImplausibleStart(noon)
		for at, steps := range map[string][]Change{
			"before": {{ID: "a", Target: ready}, {ID: "x", Target: copied}, {ID: "a", Target: draining}},
			"after":  {{ID: "a", Target: ready}, {ID: "a", Target: draining}, {ID: "x", Target: copied}},
			"twice":  {{ID: "x", Target: copied}, {ID: "a", Target: draining}, {ID: "x"}, {ID: "x", Target: copied}},
			"gone":   {{ID: "a", Target: draining}, {ID: "x", Target: copied}, {ID: "x"}},
		} {
			v := New()
			v.Apply(0, &Delta{Config: namedConfig(1, "booking")})
			for i, c := range steps {
				c.Revision = uint64(i + 2)
				v.Apply(0, &Delta{Revision: c.Revision, Changes: []Change{c}})
			}
			assert.Equal(t, len(v.ReadyTargets("booking")), 0, "%s, %s", name, at)
			assert.Equal(t, v.TargetAt(draining.Agent()).State, Draining, "%s, %s", name, at)
			// The target reports that it is ready again.
			v.Apply(0, &Delta{Revision: 9, Changes: []Change{{ID: "a", Revision: 9, Target: ready}}})
			assert.Equal(t, len(v.ReadyTargets("booking")), 1, "%s, %s", name, at)
		}
	}
}
