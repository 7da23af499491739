package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func namedConfig(version uint64, services ...string) *Config {
	c := &Config{Version: version}
	for _, s := range services {
		c.Services = append(c.Services, Service{Name: s})
	}
	return c
}

func targetOf(service, id string, ip byte, start int64) *Target {
	t := target(id, ip, Ready, start)
	t.Service = service
	return t
}

// Guards against an entry of a service that no version names, for example of
// another writer, that hides the entry of a running target at its address: the
// target's open flows were reset.
func TestUnnamedServiceHidesNothing(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Revision: 5, Config: namedConfig(1, "booking", "gallery"), ConfigRevision: 1, Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Ready, 1)}}})
	v.Apply(0, &Delta{Revision: 6, Changes: []Change{{ID: "x", Revision: 6, Target: targetOf("stalls", "x", 1, 2)}}})
	assert.Equal(t, ids(v.Targets("booking")), "a")
	assert.Equal(t, len(v.Targets("stalls")), 0)
	assert.Equal(t, v.TargetAt(target("a", 1, Ready, 1).Agent()).ID, "a")
	// A service to which a route leads counts as named, and so does every service
	// if the sender of the routes does not tell them.
	for _, c := range []*Config{{Version: 2}, {Version: 2, Services: []Service{{Name: "booking"}}, Routes: []Route{{Address: address, Service: "stalls"}}}} {
		v := New()
		v.Apply(0, &Delta{Config: c, Changes: []Change{{ID: "x", Revision: 6, Target: targetOf("stalls", "x", 1, 2)}}})
		assert.Equal(t, ids(v.Targets("stalls")), "x")
	}
}

// Guards against a target that is lost for good because its entry came before the
// version that names its service, also when that takes longer than the retention of
// removed entries, and at a peer that got both from another.
func TestLaterVersionNamesAService(t *testing.T) {
	x := Change{ID: "x", Revision: 6, Target: targetOf("stalls", "x", 1, 2)}
	for name, known := range map[string]bool{"new entry": false, "entry of a service that was named before": true} {
		v := New()
		services := []string{"booking"}
		if known {
			services = append(services, "stalls")
		}
		v.Apply(0, &Delta{Revision: 5, Config: namedConfig(1, services...), ConfigRevision: 1})
		targets, _ := v.Apply(0, &Delta{Revision: 6, Changes: []Change{x}})
		assert.Equal(t, targets, known, name)
		if known {
			targets, config := v.Apply(time.Second, &Delta{Revision: 7, Config: namedConfig(2, "booking"), ConfigRevision: 7})
			assert.Assert(t, targets && config)
			assert.Equal(t, len(v.Targets("stalls")), 0)
			// The target may still hold flows.
			assert.Equal(t, ids(v.RemovedTargets("stalls")), "x")
		}
		now := time.Second + 2*RemovedEntryRetention
		v.Expire(now)
		v.Expire(2 * now)
		assert.Equal(t, len(v.RemovedTargets("stalls")), 0, name)
		peer := New()
		for _, to := range []*View{v, peer} {
			if to == peer {
				d := told(t, v.Since(2*now, Progress{}))
				peer.Apply(2*now, &d)
				assert.Equal(t, len(peer.Targets("stalls")), 0, name)
			}
		}
		for _, to := range []*View{v, peer} {
			targets, config := to.Apply(2*now, &Delta{Revision: 9, Config: namedConfig(3, "booking", "stalls"), ConfigRevision: 9})
			assert.Assert(t, targets && config, name)
			assert.Equal(t, ids(to.Targets("stalls")), "x", name)
		}
	}
}

func told(t interface {
	assert.TestingT
	Helper()
}, d Delta) (out Delta) {
	t.Helper()
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &out))
	assert.NilError(t, out.Validate())
	return out
}

// Guards against an entry that stays for ever after the platform has removed it,
// and against flows of the earlier target that are not searched for.
func TestEntryBecomesUnnamed(t *testing.T) {
	for name, removal := range map[string]*Delta{
		"event":   {Revision: 7, Changes: []Change{{ID: "a", Revision: 7}}},
		"listing": {Revision: 5, Full: true, ListingRevision: 7},
	} {
		v := New()
		v.Apply(0, &Delta{Revision: 5, Config: namedConfig(1, "booking"), ConfigRevision: 1, Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Ready, 1)}}})
		changed, _ := v.Apply(time.Second, &Delta{Revision: 6, Changes: []Change{{ID: "a", Revision: 6, Target: targetOf("stalls", "a", 1, 2)}}})
		assert.Assert(t, changed, name)
		assert.Equal(t, len(v.Targets("booking")), 0, name)
		assert.Equal(t, ids(v.RemovedTargets("booking")), "a", name)
		// A peer that did not know the target before learns it.
		peer := New()
		d := told(t, v.Since(time.Second, Progress{}))
		peer.Apply(time.Second, &d)
		assert.Equal(t, ids(peer.RemovedTargets("booking")), "a", name)
		v.Apply(RemovedEntryRetention+2*time.Second, removal)
		v.Expire(2*RemovedEntryRetention + 3*time.Second)
		assert.Equal(t, len(v.entries), 0, name)
		v.Apply(2*RemovedEntryRetention+3*time.Second, &Delta{Revision: 8, Config: namedConfig(2, "booking", "stalls"), ConfigRevision: 8})
		assert.Equal(t, len(v.Targets("stalls")), 0, name)
	}
}

// Guards against views that list different targets after the same entries and
// versions in another order.
func TestNamedServicesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, other := New(), New()
		for n := range rapid.IntRange(1, 12).Draw(t, "changes") {
			d := Delta{Revision: uint64(n + 1)}
			if rapid.IntRange(0, 2).Draw(t, "version") == 0 {
				services := rapid.SampledFrom([][]string{nil, {"booking"}, {"booking", "gallery"}, {"gallery"}}).Draw(t, "services")
				d.Config, d.ConfigRevision = namedConfig(uint64(n+1), services...), uint64(n+1)
			} else {
				c := Change{ID: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "id")), Revision: uint64(n + 1)}
				if rapid.IntRange(0, 3).Draw(t, "there") > 0 {
					service := rapid.SampledFrom([]string{"booking", "gallery"}).Draw(t, "service")
					c.Target = targetOf(service, c.ID, byte(rapid.IntRange(1, 2).Draw(t, "vm")), int64(n))
				}
				d.Changes = []Change{c}
			}
			v.Apply(0, &d)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				d := told(t, v.Since(0, other.Progress()))
				other.Apply(0, &d)
			case 1:
				// The routes arrive before the entries.
				other.Apply(0, &Delta{Config: v.config, ConfigRevision: v.configRevision})
			}
		}
		peer := New()
		for _, to := range []*View{other, peer} {
			d := told(t, v.Since(0, to.Progress()))
			to.Apply(0, &d)
		}
		for _, service := range []string{"booking", "gallery"} {
			assert.Equal(t, ids(other.Targets(service)), ids(v.Targets(service)))
			assert.Equal(t, ids(peer.Targets(service)), ids(v.Targets(service)))
		}
	})
}

// Guards against a running target that nobody searches, because the entry of another
// writer for another named service has its address.
func TestHiddenTargets(t *testing.T) {
	for _, start := range []int64{1, 2} {
		v := New()
		v.Apply(0, &Delta{Revision: 6, Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Ready, 1)}, {ID: "x", Revision: 6, Target: targetOf("gallery", "x", 1, start)}}})
		assert.Equal(t, len(v.Targets("booking")), 0)
		assert.Equal(t, ids(v.HiddenTargets("booking")), "a")
		assert.Equal(t, len(v.HiddenTargets("gallery")), 0)
		// A lapsed target gets new flows, a hidden one does not.
		v.RecordDisturbance(0)
		assert.Equal(t, len(v.LapsedTargets(0, "booking")), 0)
		v.Apply(0, &Delta{Revision: 7, Changes: []Change{{ID: "x", Revision: 7}}})
		assert.Equal(t, ids(v.Targets("booking")), "a")
		assert.Equal(t, len(v.HiddenTargets("booking")), 0)
		assert.Equal(t, ids(v.HiddenTargets("gallery")), "")
	}
	// The entry of a target that has left is no longer hidden once it is removed.
	v := New()
	v.Apply(0, &Delta{Revision: 6, Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 6, Target: targetOf("gallery", "b", 1, 2)}}})
	v.Apply(0, &Delta{Revision: 7, Changes: []Change{{ID: "a", Revision: 7}}})
	assert.Equal(t, len(v.HiddenTargets("booking"))+len(v.RemovedTargets("booking")), 0)
}
