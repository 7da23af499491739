package fleetsync

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

func (s *Sync) pullFromSeeds(ctx context.Context) {
	s.Lock.Lock()
	seeds := slices.Clone(s.Seeds)
	s.Lock.Unlock()
	for _, seed := range seeds {
		if seed.Addr() == s.Self {
			continue
		}
		if err := s.pull(ctx, seed); err != nil {
			s.Log.Debug("cannot fetch the view from a seed", zap.Stringer("seed", seed), telemetry.Error(err))
			continue
		}
		return
	}
}

func (s *Sync) hasSeeds() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return len(s.Seeds) > 0
}

// localProgress returns the progress after which changes are needed, zero if there
// is no usable view.
func (s *Sync) localProgress() fleet.Progress {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	if !s.View.Usable() {
		return fleet.Progress{}
	}
	return s.View.Progress()
}

// FetchFromPeers fetches changes from peers with a newer view until ctx ends.
func (s *Sync) FetchFromPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case h := <-s.hints:
			if s.isUpToDate(h.progress) {
				continue
			}
			if err := s.pull(ctx, h.from); err != nil && ctx.Err() == nil {
				s.Log.Warn("peer does not give its view", telemetry.Peer(h.from.String()), telemetry.Error(err))
			}
		}
	}
}

func (s *Sync) isUpToDate(progress fleet.Progress) bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return !progress.AheadOf(s.View.Progress())
}

func (s *Sync) pull(ctx context.Context, from netip.AddrPort) error {
	d, err := s.get(ctx, from, progressParameters(s.localProgress()))
	if err != nil {
		return err
	}
	s.apply(d, from.String())
	return nil
}

// progressParameters returns the parameters of a request for the changes after a
// progress.
func progressParameters(after fleet.Progress) map[string]string {
	return map[string]string{
		queryEpoch:   strconv.FormatUint(after.Epoch, 10),
		queryAfter:   strconv.FormatUint(after.Revision, 10),
		queryVersion: strconv.FormatUint(after.Version, 10),
	}
}

// get makes a request to a peer and returns the delta in its response.
func (s *Sync) get(ctx context.Context, from netip.AddrPort, parameters map[string]string) (*fleet.Delta, error) {
	s.pulls.Inc()
	query := url.Values{}
	for name, value := range parameters {
		query.Set(name, value)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+PathFleet+"?"+query.Encode(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.Errorf("peer returned status %d", response.StatusCode)
	}
	var d fleet.Delta
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxDeltaSize)).Decode(&d); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.Validate(); err != nil {
		return nil, trace.Wrap(err, "peer returned an invalid delta")
	}
	return &d, nil
}

// deltaSince returns the changes after a progress, and whether the view is
// usable.
func (s *Sync) deltaSince(after fleet.Progress) (d fleet.Delta, usable bool) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.Since(s.Now(), after), s.View.Usable()
}

// Parameters of a request for changes: the epoch and the revision after which the
// peer needs them, and the version of its routes.
const (
	queryEpoch   = "epoch"
	queryAfter   = "after"
	queryVersion = "version"
)

// ServeHTTP serves the changes after the progress that a peer requests, or the
// entries that were removed lately.
func (s *Sync) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(queryRemovals) {
		s.writeDelta(w, s.removals())
		return
	}
	var after fleet.Progress
	for name, field := range map[string]*uint64{queryEpoch: &after.Epoch, queryAfter: &after.Revision, queryVersion: &after.Version} {
		var err error
		if *field, err = strconv.ParseUint(r.URL.Query().Get(name), 10, 64); err != nil {
			http.Error(w, name+" is not a number", http.StatusBadRequest)
			return
		}
	}
	d, usable := s.deltaSince(after)
	if !usable {
		http.Error(w, "no view yet", http.StatusServiceUnavailable)
		return
	}
	s.writeDelta(w, d)
}

func (s *Sync) writeDelta(w http.ResponseWriter, d fleet.Delta) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		s.Log.Debug("cannot send changes to a peer", telemetry.Error(err))
	}
}
