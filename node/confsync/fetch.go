package confsync

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
	"trefoilweir.example/node/platform"
	"trefoilweir.example/node/telemetry"
)

// platformState holds the last valid manifest of the platform and the revision
// after which the next poll waits for a change.
type platformState struct {
	sync.Mutex
	manifestRevision uint64
	manifest         config.Manifest
}

func (p *platformState) resetRevision() {
	p.Lock()
	defer p.Unlock()
	p.manifestRevision = 0
}

// poll waits for a change at the platform or at a peer and posts the result.
func (r *run) poll(ctx context.Context, p distribution.Poll) {
	var head config.Head
	var err error
	if p.From == distribution.Platform {
		r.platformState.Lock()
		after := r.platformState.manifestRevision
		r.platformState.Unlock()
		var v platform.Value
		v, err = r.options.Platform.Watch(ctx, platform.KeyManifest, after, platformWait)
		head, err = r.recordManifest(v, err)
	} else {
		head, err = r.queryHead(ctx, p.From, headQuery{from: r.options.Name, have: p.Have, vmRevision: r.state.Load().vms.revision, wait: peerWait})
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if p.From == distribution.Platform {
			// The platform may restart its revisions when it comes back. A
			// poll after the old revision would then miss changes.
			r.platformState.resetRevision()
		}
		r.counters.pollFailures.Inc()
		r.log.Debug("poll failed", zap.Stringer(telemetry.KeyPeer, p.From), telemetry.Error(err))
		r.post(ctx, input{event: distribution.PollFailed{ID: p.ID, From: p.From}})
		return
	}
	r.post(ctx, input{event: distribution.Polled{ID: p.ID, From: p.From, Head: head}})
}

// query requests a head once and posts the result. A query to the platform also
// reads the list of VMs.
func (r *run) query(ctx context.Context, q distribution.Query) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var head config.Head
	var err error
	if q.To == distribution.Platform {
		r.readVMs(ctx)
		var v platform.Value
		v, err = r.options.Platform.Get(ctx, platform.KeyManifest)
		head, err = r.recordManifest(v, err)
	} else {
		head, err = r.queryHead(ctx, q.To, headQuery{from: r.options.Name, have: q.Have})
	}
	if err != nil {
		r.log.Debug("query failed", zap.Stringer(telemetry.KeyPeer, q.To), telemetry.Error(err))
		r.post(r.ctx, input{event: distribution.QueryFailed{From: q.To}})
		return
	}
	r.post(r.ctx, input{event: distribution.QueryAnswered{From: q.To, Head: head}})
}

// recordManifest stores a manifest that the platform returned, and returns its
// head. For a missing or malformed manifest it returns the zero head and no
// error, because the platform has responded but has nothing to adopt.
func (r *run) recordManifest(v platform.Value, err error) (config.Head, error) {
	if errors.Is(err, platform.ErrNotFound) {
		return config.Head{}, nil
	}
	if err != nil {
		return config.Head{}, trace.Wrap(err)
	}
	r.counters.receivedBytes.Add(len(v.Data))
	m, err := config.ParseManifest(v.Data)
	r.platformState.Lock()
	defer r.platformState.Unlock()
	r.platformState.manifestRevision = v.Revision
	if err != nil {
		r.counters.alarm(distribution.AlarmInvalid)
		r.log.Warn("manifest on the platform is not valid", telemetry.Reason(string(distribution.AlarmInvalid)), telemetry.Error(err))
		return config.Head{}, nil
	}
	r.platformState.manifest = m
	return m.Head(), nil
}

func (r *run) queryHead(ctx context.Context, peer distribution.Source, q headQuery) (config.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait+pollSlack)
	defer cancel()
	data, err := r.callPeer(ctx, peer, q.path())
	if err != nil {
		return config.Head{}, trace.Wrap(err)
	}
	var response headResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return config.Head{}, trace.BadParameter("head of peer %s cannot be decoded: %v", peer, err)
	}
	if r.state.Load().vms.revision.less(response.vmRevision()) {
		r.fetchVMs(ctx, peer)
	}
	return response.head(), nil
}

func (r *run) callPeer(ctx context.Context, peer distribution.Source, path string) ([]byte, error) {
	address, ok := r.state.Load().vms.address(string(peer))
	if !ok {
		return nil, trace.NotFound("peer %s has no address in the list of VMs", peer)
	}
	r.counters.peerCalls.Inc()
	data, err := r.options.Transport.RoundTrip(ctx, address, http.MethodGet, path, nil)
	r.counters.receivedBytes.Add(len(data))
	return data, trace.Wrap(err)
}

// fetch fetches and validates a configuration and posts the result.
func (r *run) fetch(ctx context.Context, f distribution.Fetch) {
	st, err := r.loadConfig(ctx, f)
	var faults config.Errors
	switch {
	case err == nil:
		r.post(ctx, input{event: distribution.Fetched{From: f.From, Head: st.head}, fetched: st})
	case errors.As(err, &faults):
		r.log.Error("configuration is not valid", telemetry.Version(f.Head.Version), zap.Stringer("from", f.From),
			zap.Int("faults", len(faults)), zap.Strings(telemetry.KeyError, firstErrors(faults)))
		r.post(ctx, input{event: distribution.Invalid(f)})
	default:
		if f.From == distribution.Platform {
			// The next poll reports the manifest again.
			r.platformState.resetRevision()
		}
		r.log.Warn("configuration could not be fetched", telemetry.Version(f.Head.Version), zap.Stringer("from", f.From), telemetry.Error(err))
		r.post(ctx, input{event: distribution.FetchFailed(f)})
	}
}

// firstErrors returns the messages of the first errors, to limit the length of
// a log line.
func firstErrors(faults config.Errors) []string {
	const maxLogged = 20
	var out []string
	for _, f := range faults[:min(len(faults), maxLogged)] {
		out = append(out, f.Error())
	}
	return out
}

func (r *run) loadConfig(ctx context.Context, f distribution.Fetch) (*state, error) {
	r.fetches.Lock()
	defer r.fetches.Unlock()
	m, err := r.readManifest(ctx, f)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	before, parts := r.state.Load().parts, newPartSet()
	known := func(ref config.PartRef) ([]byte, bool) { return storedPart(ref, parts, before) }
	for {
		c, err := r.fetches.assembler.Assemble(m, known)
		var missing *config.MissingPartsError
		switch {
		case err == nil:
			parts.retain(r.fetches.assembler.Hashes(), before)
			return &state{config: c, head: m.Head(), manifest: m, parts: parts}, nil
		case !errors.As(err, &missing):
			return nil, err
		}
		if err := r.fetchParts(ctx, f.From, missing.Parts, parts); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// storedPart returns the decompressed content of a part that one of the sets
// holds. The set of the current state is needed only for parts that the
// assembler does not know, which happens after a restart of the loop.
func storedPart(ref config.PartRef, sets ...*partSet) ([]byte, bool) {
	for _, set := range sets {
		compressed, ok := set.get(ref.SHA256)
		if !ok {
			continue
		}
		if data, err := decompress(compressed, config.MaxPartBytes); err == nil {
			return data, true
		}
	}
	return nil, false
}

// readManifest returns the manifest with the head to fetch, or one with a higher
// head if the source has a newer configuration by now.
func (r *run) readManifest(ctx context.Context, f distribution.Fetch) (config.Manifest, error) {
	if f.From == distribution.Platform {
		r.platformState.Lock()
		defer r.platformState.Unlock()
		return r.platformState.manifest, checkNotBelow(r.platformState.manifest, f.Head)
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	data, err := r.callPeer(ctx, f.From, manifestPath)
	if err != nil {
		return config.Manifest{}, trace.Wrap(err)
	}
	var m config.Manifest
	if err := cbor.Unmarshal(data, &m); err != nil {
		return config.Manifest{}, trace.BadParameter("manifest of peer %s cannot be decoded: %v", f.From, err)
	}
	return m, checkNotBelow(m, f.Head)
}

func checkNotBelow(m config.Manifest, want config.Head) error {
	if config.HeadLess(m.Head(), want) {
		return trace.NotFound("manifest has head %s, which is below the expected head %s", m.Head(), want)
	}
	return nil
}

// fetchParts fetches parts concurrently and returns the first error.
func (r *run) fetchParts(ctx context.Context, from distribution.Source, refs []config.PartRef, into *partSet) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(parallelParts, len(refs)) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(refs)) && ctx.Err() == nil; i = next.Add(1) - 1 {
				if err := r.fetchPart(ctx, from, refs[i], into); err != nil {
					cancel(err)
				}
			}
		})
	}
	workers.Wait()
	return context.Cause(ctx)
}

func (r *run) fetchPart(ctx context.Context, from distribution.Source, ref config.PartRef, into *partSet) (err error) {
	// A panic in this goroutine would end the process.
	defer func() {
		if p := recover(); p != nil {
			r.counters.panics.Inc()
			err = trace.Errorf("fetch of part %s panicked: %v", ref.Name, p)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	compressed, plain, err := r.readPart(ctx, from, ref)
	if err != nil {
		return trace.Wrap(err, "part %s cannot be fetched", ref.Name)
	}
	// A part that was altered in transit does not make the configuration
	// invalid, so this is not a validation error.
	if config.HashOf(plain) != ref.SHA256 {
		return trace.CompareFailed("part %s from %s does not match its hash", ref.Name, from)
	}
	into.put(ref.SHA256, compressed)
	return nil
}

func (r *run) readPart(ctx context.Context, from distribution.Source, ref config.PartRef) (compressed, plain []byte, err error) {
	if from == distribution.Platform {
		v, err := r.options.Platform.Get(ctx, config.PartKey(ref.SHA256))
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		r.counters.receivedBytes.Add(len(v.Data))
		return compress(v.Data), v.Data, nil
	}
	compressed, err = r.callPeer(ctx, from, partPath+ref.SHA256.String())
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	plain, err = decompress(compressed, config.MaxPartBytes)
	return compressed, plain, trace.Wrap(err)
}
