package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

// routesOver returns a view that had the routes one after the other, a second
// apart. A nil route means that the address had none.
func routesOver(routes ...*Route) *View {
	v := New()
	for i, r := range routes {
		c := &Config{Version: uint64(i + 1)}
		if r != nil {
			r.Address = address
			c.Routes = append(c.Routes, *r)
		}
		v.Apply(time.Duration(i)*time.Second, &Delta{Config: c})
	}
	return v
}

func split(services ...string) *Route {
	r := &Route{}
	for weight, s := range services {
		r.Split = append(r.Split, WeightedService{Service: s, Weight: weight})
	}
	return r
}

// Guards against a service that is left out although it may have open flows of
// the address, and against one that is named twice.
func TestServicesOf(t *testing.T) {
	for _, c := range []struct {
		routes []*Route
		want   []string
	}{
		{[]*Route{{Service: "a"}}, []string{"a"}},
		{[]*Route{split("a", "b")}, []string{"a", "b"}},
		{[]*Route{{Service: "a"}, {Service: "b"}}, []string{"b", "a"}},
		{[]*Route{{Service: "a"}, {Service: "b"}, {Service: "a"}}, []string{"a", "b"}},
		{[]*Route{split("a", "b"), split("b", "c"), {Service: "d"}}, []string{"d", "c", "b", "a"}},
		{[]*Route{split("a", "b"), nil}, []string{"b", "a"}},
		{[]*Route{{Service: "a"}, nil, {Service: "b"}}, []string{"b", "a"}},
		{[]*Route{nil}, nil},
	} {
		assert.DeepEqual(t, routesOver(c.routes...).ServicesOf(address), c.want)
	}
}

// Guards against earlier services that are forgotten while their flows may be
// open, and against a history that is never discarded.
func TestPastServicesExpire(t *testing.T) {
	v := routesOver(&Route{Service: "a"}, &Route{Service: "b"}, nil)
	v.Expire(time.Second + RetiredRouteRetention)
	assert.DeepEqual(t, v.ServicesOf(address), []string{"b", "a"})
	v.Expire(2*time.Second + RetiredRouteRetention)
	assert.DeepEqual(t, v.ServicesOf(address), []string{"b"})
	v.Expire(3*time.Second + RetiredRouteRetention)
	assert.Equal(t, len(v.pastServices), 0)
}

// Guards against a process that resets open flows of an earlier service because
// it started after the version that replaced the service and got its view from
// a peer.
func TestPastServicesAreTold(t *testing.T) {
	v := routesOver(&Route{Service: "a"}, split("b", "c"), &Route{Service: "d"})
	d := v.Since(3*time.Second, Progress{})
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	var told Delta
	assert.NilError(t, json.Unmarshal(data, &told))
	assert.NilError(t, told.Validate())
	peer := New()
	for range 2 {
		peer.Apply(3*time.Second, &told)
		assert.DeepEqual(t, peer.ServicesOf(address), []string{"d", "c", "b", "a"})
	}
	// The age of the history does not start anew at the peer.
	peer.Expire(time.Second + RetiredRouteRetention + time.Millisecond)
	assert.DeepEqual(t, peer.ServicesOf(address), []string{"d", "c", "b"})
	peer.Expire(2*time.Second + RetiredRouteRetention + time.Millisecond)
	assert.DeepEqual(t, peer.ServicesOf(address), []string{"d"})
	// A peer that follows the versions knows the services itself, so that a
	// change costs it no more bytes. One that has missed version 2 does not know
	// the services of that version.
	for version, want := range map[uint64]int{1: 2, 2: 0, 3: 0} {
		d := v.Since(3*time.Second, Progress{Revision: 1, Version: version})
		assert.Equal(t, len(d.PastServices), want)
	}
}

// Guards against resets of open flows of a service to which the address led only
// in versions that a patch skips: the process stood still meanwhile, or the peer
// from which it fetches had itself learned of the service from another.
func TestPatchTellsServicesOfSkippedVersions(t *testing.T) {
	for _, peers := range []int{1, 2, 3} {
		source := routesOver(&Route{Service: "a"}, &Route{Service: "b"}, &Route{Service: "a"})
		now := 3 * time.Second
		for range peers {
			v := routesOver(&Route{Service: "a"})
			d := source.Since(now, Progress{Revision: 1, Version: v.Version()})
			assert.Assert(t, d.Patch != nil && !d.Full)
			data, err := json.Marshal(d)
			assert.NilError(t, err)
			d = Delta{}
			assert.NilError(t, json.Unmarshal(data, &d))
			assert.NilError(t, d.Validate())
			v.Apply(now, &d)
			assert.Equal(t, v.Version(), uint64(3))
			assert.DeepEqual(t, v.ServicesOf(address), []string{"a", "b"})
			source, now = v, now+time.Second
		}
		// The age of the service does not start anew at a peer.
		source.Expire(2*time.Second + RetiredRouteRetention + time.Millisecond)
		assert.DeepEqual(t, source.ServicesOf(address), []string{"a"})
	}
}

// Guards against a process that reads several versions in one answer of the
// platform and does not know the services of all but the last.
func TestVersionsOfOneAnswer(t *testing.T) {
	versions := func(order ...uint64) *Delta {
		var s Versions
		for _, n := range order {
			service := map[uint64]string{2: "b", 3: "c", 4: "a"}[n]
			s.Add(&Config{Version: n, Routes: []Route{{Address: address, Service: service}}}, n)
		}
		d := &Delta{Revision: 4, WatchedAfter: 1}
		s.AddTo(d)
		return d
	}
	// A version that is lower than an earlier one in the answer is never adopted.
	for _, d := range []*Delta{versions(2, 3, 4), versions(4, 2, 3), versions(3, 4, 2)} {
		v := routesOver(&Route{Service: "a"})
		v.Apply(time.Second, d)
		assert.Equal(t, v.Version(), uint64(4))
		services := v.ServicesOf(address)
		assert.Equal(t, services[0], "a")
		slices.Sort(services)
		assert.DeepEqual(t, services, []string{"a", "b", "c"})
	}
	var none Versions
	d := &Delta{}
	none.AddTo(d)
	assert.Assert(t, d.Config == nil)
}

// Guards against an agent that starts after the version that replaced a service,
// reads that version at the platform and resets open flows of the service.
func TestStartedProcessLearnsPastServices(t *testing.T) {
	peer := routesOver(&Route{Service: "a"}, &Route{Service: "b"})
	for _, epoch := range []uint64{0, 1} {
		v := New()
		v.Apply(2*time.Second, &Delta{Epoch: epoch, Full: true, Revision: 5, ListingRevision: 5, Config: &Config{Version: 2, Routes: peer.config.Routes}})
		d := peer.Removals(2*time.Second, Progress{}, 0)
		v.Apply(2*time.Second, &d)
		assert.DeepEqual(t, v.ServicesOf(address), []string{"b", "a"})
	}
}

// Guards against a history that grows with each version.
func TestPastServicesAreBounded(t *testing.T) {
	var routes []*Route
	for n := range 3 * maxPastServices {
		routes = append(routes, &Route{Service: fmt.Sprint(n)})
	}
	services := routesOver(routes...).ServicesOf(address)
	assert.Equal(t, len(services), 1+maxPastServices)
	assert.Equal(t, services[1], fmt.Sprint(3*maxPastServices-2))
}

// Guards against a history that counts as complete although it has forgotten a
// service of the address: open flows of that service were reset.
func TestFullHistoryMayHaveForgottenServices(t *testing.T) {
	var routes []*Route
	for n := range maxPastServices {
		assert.Assert(t, !routesOver(routes...).MayHaveForgottenServices(address))
		routes = append(routes, &Route{Service: fmt.Sprint(n)})
	}
	v := routesOver(append(routes, &Route{Service: "a"}, &Route{Service: "b"})...)
	assert.Assert(t, v.MayHaveForgottenServices(address))
	peer := New()
	d := v.Since(time.Minute/2, Progress{})
	peer.Apply(time.Minute/2, &d)
	assert.Assert(t, peer.MayHaveForgottenServices(address))
	v.Expire(10*time.Second + RetiredRouteRetention)
	assert.Assert(t, !v.MayHaveForgottenServices(address))
}

// Guards against a service to which an address led twice that is forgotten when the
// retention of the first time ends, at a process that saw both times and at one that
// missed the second.
func TestServiceThatIsLeftTwice(t *testing.T) {
	a, b := &Route{Service: "a"}, &Route{Service: "b"}
	v, peer := routesOver(a, b, a, b, a), routesOver(a, b, a)
	now := 5 * time.Second
	d := v.Since(now, Progress{Revision: 1, Version: peer.Version()})
	assert.Assert(t, d.Patch != nil)
	peer.Apply(now, &d)
	for _, to := range []*View{v, peer} {
		// b was left at 2 s and at 4 s.
		to.Expire(2*time.Second + RetiredRouteRetention + time.Millisecond)
		assert.DeepEqual(t, to.ServicesOf(address), []string{"a", "b"})
		to.Expire(4*time.Second + RetiredRouteRetention + time.Millisecond)
		assert.DeepEqual(t, to.ServicesOf(address), []string{"a"})
	}
}

// Guards against a patch of a peer of an earlier release, which does not tell the
// services of the versions that it skips, that counts as all that has happened.
func TestPatchOfAnEarlierRelease(t *testing.T) {
	source := routesOver(&Route{Service: "a"}, &Route{Service: "b"}, &Route{Service: "a"})
	for earlier, known := range map[bool]bool{true: false, false: true} {
		v := New()
		v.NothingRemovedBefore(0)
		v.Apply(0, &Delta{Revision: 1, Config: &Config{Version: 1, Routes: []Route{{Address: address, Service: "a"}}}, ConfigRevision: 1})
		d := source.Since(3*time.Second, Progress{Revision: 1, Version: 1})
		assert.Assert(t, d.Patch != nil && !d.Full)
		if earlier {
			d.After, d.PastServices = 0, nil
		}
		v.Apply(3*time.Second, &d)
		assert.Equal(t, v.Version(), uint64(3))
		assert.Equal(t, v.RemovalsKnown(3*time.Second), known)
		// A peer that has seen the versions fills the gap.
		removals := source.Removals(4*time.Second, Progress{}, 0)
		since := time.Minute.Milliseconds()
		removals.RemovalsKnownMS = &since
		v.Apply(4*time.Second, &removals)
		assert.Assert(t, v.RemovalsKnown(4*time.Second))
		assert.DeepEqual(t, v.ServicesOf(address), []string{"a", "b"})
	}
}
