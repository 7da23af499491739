package fleetsync

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

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

// localProgress returns the progress after which changes are needed and the age of
// the view. The progress is zero if there is no usable view.
func (s *Sync) localProgress() (progress fleet.Progress, age time.Duration) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	age = s.View.Age(s.Now())
	if !s.View.Usable() {
		return fleet.Progress{}, age
	}
	return s.View.Progress(), age
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
			err := s.pull(ctx, h.from)
			switch {
			case err == nil, ctx.Err() != nil:
			case errors.Is(err, errLeavesGap):
				s.Log.Debug("peer does not know the changes since this view", telemetry.Peer(h.from.String()))
			default:
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
	progress, age := s.localProgress()
	parameters := progressParameters(progress)
	if !s.toleratesGap() {
		parameters[queryAge] = strconv.FormatInt(age.Milliseconds(), 10)
	}
	d, err := s.get(ctx, from, parameters)
	if err != nil {
		return err
	}
	s.apply(d, from.String())
	return nil
}

func (s *Sync) toleratesGap() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.ToleratesGap(s.Now())
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
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, errLeavesGap
	default:
		return nil, trace.Errorf("peer returned status %d", response.StatusCode)
	}
	var d fleet.Delta
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxDeltaSize)).Decode(&d); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.Validate(); err != nil {
		return nil, trace.Wrap(err, "peer returned an invalid delta")
	}
	if dropped := d.DropUnusableTargets(time.Now()); dropped > 0 {
		s.Log.Warn("peer tells targets that cannot be used; treating them as removed", telemetry.Peer(from.String()), zap.Int("targets", dropped))
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
// peer needs them, the version of its routes, and the age of its view in
// milliseconds. A peer that asks for removals sends the state from which on it has
// followed all changes, and how long ago that was. Earlier releases do not send the
// age.
const (
	queryEpoch   = "epoch"
	queryAfter   = "after"
	queryVersion = "version"
	queryAge     = "age"
)

// errLeavesGap is returned if a peer has started after the changes that this
// process needs, and the view is recent enough to wait for another peer.
var errLeavesGap = errors.New("peer does not know the changes since the view of this process")

// ServeHTTP serves the changes after the progress that a peer requests, or the
// entries that were removed lately.
func (s *Sync) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after fleet.Progress
	for name, field := range map[string]*uint64{queryEpoch: &after.Epoch, queryAfter: &after.Revision, queryVersion: &after.Version} {
		var err error
		if *field, err = strconv.ParseUint(r.URL.Query().Get(name), 10, 64); err != nil {
			http.Error(w, name+" is not a number", http.StatusBadRequest)
			return
		}
	}
	age, err := strconv.ParseInt(r.URL.Query().Get(queryAge), 10, 64)
	hasAge := err == nil
	if r.URL.Query().Has(queryRemovals) {
		if !hasAge {
			after = fleet.Progress{}
		}
		s.writeDelta(w, s.removals(after, milliseconds(age)))
		return
	}
	d, usable := s.deltaSince(after)
	if !usable {
		http.Error(w, "no view yet", http.StatusServiceUnavailable)
		return
	}
	if hasAge && s.leavesGap(&d, milliseconds(age)) {
		http.Error(w, errLeavesGap.Error(), http.StatusConflict)
		return
	}
	s.writeDelta(w, d)
}

// leavesGap reports whether a delta skips changes for a peer whose view has an age.
func (s *Sync) leavesGap(d *fleet.Delta, age time.Duration) bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.LeavesGap(s.Now(), d, age)
}

// milliseconds returns an age that a peer has sent, at most an hour.
func milliseconds(age int64) time.Duration {
	return time.Duration(min(max(age, 0), time.Hour.Milliseconds())) * time.Millisecond
}

func (s *Sync) writeDelta(w http.ResponseWriter, d fleet.Delta) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		s.Log.Debug("cannot send changes to a peer", telemetry.Error(err))
	}
}
