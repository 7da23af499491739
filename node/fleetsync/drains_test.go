package fleetsync

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
)

// drainPlatform is a platform that lists drain requests.
type drainPlatform struct {
	fakePlatform
	drains fleet.Drains
	reads  int
}

func (p *drainPlatform) Drains(context.Context) (*fleet.Delta, error) {
	p.reads++
	return &fleet.Delta{Drains: &p.drains}, p.err
}

// pullFrom applies what a peer of this or of an earlier release answers.
func (f *fixture) pullFrom(t *testing.T, d fleet.Delta) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { assert.NilError(t, json.NewEncoder(w).Encode(d)) }))
	defer peer.Close()
	assert.NilError(t, f.pull(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))))
}

// Guards against a process that follows peers of an earlier release and does not learn
// of a drain, and against one that calls the platform although its peers tell it.
func TestDrainsAreReadIfPeersDoNotTell(t *testing.T) {
	f := newFixture(4)
	p := &drainPlatform{drains: fleet.Drains{Revision: 20, Requests: []fleet.DrainRequest{{DataCentre: "dc", Revision: 15}}}}
	f.Source = p
	changed := 0
	f.OnChange = func(_, _ bool) { changed++ }
	// Without a usable view, the listing that makes it usable has the requests.
	assert.Assert(t, !f.readDrainsOnce(t.Context()))
	d := fleet.Delta{Revision: 20, Full: true, Changes: f.platform.delta.Changes, Config: &fleet.Config{Version: 1}, ConfigRevision: 1}
	f.pullFrom(t, d)
	changed = 0
	p.err = errHistoryLost
	assert.Assert(t, f.readDrainsOnce(t.Context()))
	assert.Assert(t, !f.View.Drained("dc"))
	p.err = nil
	assert.Assert(t, f.readDrainsOnce(t.Context()))
	assert.Assert(t, f.View.Drained("dc") && f.View.DrainsComplete())
	assert.Equal(t, changed, 1)
	assert.Assert(t, !f.readDrainsOnce(t.Context()))
	assert.Equal(t, p.reads, 2)
	f.pullFrom(t, fleet.Delta{Revision: 22})
	assert.Assert(t, f.View.Drained("dc"))
	assert.Assert(t, f.readDrainsOnce(t.Context()))
	f.pullFrom(t, fleet.Delta{Revision: 24, Drains: &fleet.Drains{Revision: 24}})
	assert.Assert(t, !f.View.Drained("dc"))
	assert.Assert(t, !f.readDrainsOnce(t.Context()))
	assert.Equal(t, p.reads, 3)
}

// Guards against a drain that reaches the children of a process only with their
// next request, and against a reader that reads on at once although changes in
// quick succession are to cost one call.
func TestDrainIsAChange(t *testing.T) {
	f := newFixture(4)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	f.readOnce(t.Context())
	changed := 0
	f.OnChange = func(targets, _ bool) {
		if targets {
			changed++
		}
	}
	f.platform.delta.Drains = &fleet.Drains{Revision: 12, Requests: []fleet.DrainRequest{{DataCentre: "dc", Revision: 12}}}
	f.cursor, f.historyLost, f.now = fleet.Progress{}, true, time.Hour
	assert.Equal(t, f.readOnce(t.Context()), batchDelay)
	assert.Equal(t, changed, 1)
	assert.Assert(t, f.View.Drained("dc"))
	f.cursor, f.historyLost, f.now = fleet.Progress{}, true, 2*time.Hour
	f.readOnce(t.Context())
	assert.Equal(t, changed, 1)
}

// Guards against a loop that calls the platform without pauses, from every process
// of a fleet, while its peers do not tell drain requests.
func TestDrainReadsAreBounded(t *testing.T) {
	f := newFixture(4)
	p := &drainPlatform{drains: fleet.Drains{Revision: 1}}
	f.Source = p
	f.View.Apply(0, &fleet.Delta{Revision: 9, Config: &fleet.Config{Version: 1}})
	ctx, cancel := context.WithTimeout(t.Context(), drainReadInterval/2)
	defer cancel()
	assert.Equal(t, f.ReadDrains(ctx), context.DeadlineExceeded)
	assert.Equal(t, p.reads, 1)
}

// watchedPlatform is a platform that can be down and whose watch returns the changes
// of drain requests.
type watchedPlatform struct {
	fakePlatform
	changes []fleet.DrainChange
	current uint64
}

func (p *watchedPlatform) Watch(_ context.Context, after fleet.Progress, _ time.Duration) (*fleet.Delta, fleet.Progress, error) {
	if p.err != nil {
		return nil, after, p.err
	}
	c := &fleet.DrainChanges{Epoch: after.Epoch, After: after.Revision, Through: p.current}
	for _, change := range p.changes {
		if change.Revision > after.Revision {
			c.Changes = append(c.Changes, change)
		}
	}
	return &fleet.Delta{Epoch: after.Epoch, Revision: p.current, DrainChanges: c}, fleet.Progress{Epoch: after.Epoch, Revision: p.current}, nil
}

// Guards against a drain or an undrain that is lost because the platform is down or
// has dropped its history when the request arrives, and against a known drain that
// ends with the connection.
func TestDrainWhilePlatformIsDown(t *testing.T) {
	f := newFixture(4)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	f.platform.delta.Drains = &fleet.Drains{Revision: 9}
	p := &watchedPlatform{fakePlatform: f.platform, current: 9}
	f.Source = p
	read := func() {
		f.now += time.Minute
		f.readOnce(t.Context())
	}
	read()
	for _, drained := range []bool{true, false} {
		p.err = errors.New("no connection")
		p.current++
		p.changes = append(p.changes, fleet.DrainChange{DataCentre: "dc", Revision: p.current, Removed: !drained})
		read()
		assert.Equal(t, f.View.Drained("dc"), !drained)
		p.err = nil
		read()
		assert.Equal(t, f.View.Drained("dc"), drained)
		assert.Assert(t, f.View.DrainsComplete())
	}
	// The platform has dropped the history with the next drain.
	p.err = errHistoryLost
	p.delta.Revision, p.delta.ListingRevision = 20, 20
	p.delta.Drains = &fleet.Drains{Revision: 20, Requests: []fleet.DrainRequest{{DataCentre: "dc", Revision: 15}}}
	read()
	p.err = nil
	read()
	assert.Assert(t, f.View.Drained("dc") && f.View.DrainsComplete())
}
