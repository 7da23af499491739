package fleet

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"
)

// FuzzDelta guards against a delta of a peer that passes the check and makes the
// view panic, and against a view whose own delta fails the check.
func FuzzDelta(f *testing.F) {
	for _, seed := range []string{
		`{"revision":9,"changes":[{"id":"a","revision":9,"target":{"id":"a","service":"s","address":"10.0.0.1:80","state":"ready","born":2}},{"id":"b","revision":8}]}`,
		`{"revision":20,"full":true,"changes":[],"config":{"version":3,"routes":[{"name":"r","address":"198.18.0.1:1","split":[{"service":"s","weight":-1}]}]}}`,
		`{"revision":3,"patch":{"base":1,"version":2,"set":[{"address":"198.18.0.1:1"}],"removed":["198.18.0.1:1","x"]},"disturbed_ms":5}`,
		`{"revision":20,"config":{"version":3},"past_services":[{"address":"198.18.0.1:1","service":"s","ago_ms":9223372036854775807},{"address":"198.18.0.1:1","service":"t","ago_ms":5}]}`,
		`{"changes":[{"id":"a","revision":1,"target":{"address":""}}]}`,
		`{"epoch":2,"revision":9,"drains":{"epoch":2,"revision":9,"requests":[{"data_centre":"dc","revision":4},{"data_centre":"dc","revision":12}]}}`,
		`{"confirmed_ms":-1}`, `null`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Delta
		if json.Unmarshal(b, &d) != nil || d.Validate() != nil {
			return
		}
		v := New()
		v.Apply(0, &Delta{Revision: 7, Config: &Config{Version: 1, Routes: []Route{testRoute(1, "s")}}, ConfigRevision: 1, Changes: []Change{
			{ID: "a", Revision: 6, Target: target("a", 1, Ready, 1)}, {ID: "c", Revision: 7, Target: target("c", 3, Ready, 1)}}})
		v.Apply(time.Second, &d)
		v.Expire(2 * RemovedEntryRetention)
		for _, service := range append(v.Services(), "booking") {
			Homes(nil, v.Targets(service), 1, "dc")
			v.LapsedTargets(time.Second, service)
			v.Roster(service, "dc")
		}
		v.Position(nil, Member{VM: netip.AddrFrom4([4]byte{10, 0, 0, 9}), DataCentre: "dc"})
		if r, ok := v.Route(netip.MustParseAddrPort("198.18.0.1:1")); ok {
			r.ServiceOf(5)
		}
		since := v.Since(time.Second, Progress{Revision: 1, Version: 1})
		if err := since.Validate(); err != nil {
			t.Fatalf("a delta of a view fails the check: %v", err)
		}
	})
}
