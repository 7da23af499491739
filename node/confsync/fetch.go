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

// platformState is what the platform answered last.
type platformState struct {
	sync.Mutex
	manifestRevision uint64
	manifest         config.Manifest
}

func (p *platformState) forget() {
	p.Lock()
	defer p.Unlock()
	p.manifestRevision = 0
}

// poll waits for a change at the platform or at a parent.
func (r *run) poll(ctx context.Context, p distribution.Poll) {
	var head config.Head
	var err error
	if p.From == distribution.Platform {
		r.platformState.Lock()
		after := r.platformState.manifestRevision
		r.platformState.Unlock()
		var v platform.Value
		v, err = r.options.Platform.Watch(ctx, platform.KeyManifest, after, platformWait)
		head, err = r.manifestHead(v, err)
	} else {
		head, err = r.askHead(ctx, p.From, headQuestion{from: r.options.Name, have: p.Have, vms: r.state.Load().vms.revision, wait: peerWait})
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if p.From == distribution.Platform {
			// Revisions may start again with a platform that comes back, so
			// that a poll after the old one would wait in vain.
			r.platformState.forget()
		}
		r.meters.pollFailures.Inc()
		r.log.Debug("poll failed", zap.Stringer(telemetry.KeyPeer, p.From), telemetry.Error(err))
		r.post(ctx, input{event: distribution.PollFailed{ID: p.ID, From: p.From}})
		return
	}
	r.post(ctx, input{event: distribution.Polled{ID: p.ID, From: p.From, Head: head}})
}

// ask asks once. A Query to the platform reads the list of VMs too.
func (r *run) ask(ctx context.Context, a distribution.Query) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var head config.Head
	var err error
	if a.To == distribution.Platform {
		r.readVMs(ctx)
		var v platform.Value
		v, err = r.options.Platform.Get(ctx, platform.KeyManifest)
		head, err = r.manifestHead(v, err)
	} else {
		head, err = r.askHead(ctx, a.To, headQuestion{from: r.options.Name, have: a.Have})
	}
	if err != nil {
		r.log.Debug("question failed", zap.Stringer(telemetry.KeyPeer, a.To), telemetry.Error(err))
		r.post(r.ctx, input{event: distribution.QueryFailed{From: a.To}})
		return
	}
	r.post(r.ctx, input{event: distribution.QueryAnswered{From: a.To, Head: head}})
}

// manifestHead notes a manifest of the platform and returns its head. A
// manifest that is missing or not of the right form gives the zero head: the
// platform answers, and has nothing to adopt.
func (r *run) manifestHead(v platform.Value, err error) (config.Head, error) {
	if errors.Is(err, platform.ErrNotFound) {
		return config.Head{}, nil
	}
	if err != nil {
		return config.Head{}, trace.Wrap(err)
	}
	r.meters.receivedByte.Add(len(v.Data))
	m, err := config.ParseManifest(v.Data)
	r.platformState.Lock()
	defer r.platformState.Unlock()
	r.platformState.manifestRevision = v.Revision
	if err != nil {
		r.meters.alarm(distribution.AlarmInvalid)
		r.log.Warn("manifest on the platform is not valid", telemetry.Reason(string(distribution.AlarmInvalid)), telemetry.Error(err))
		return config.Head{}, nil
	}
	r.platformState.manifest = m
	return m.Head(), nil
}

func (r *run) askHead(ctx context.Context, peer distribution.Source, q headQuestion) (config.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait+pollSlack)
	defer cancel()
	data, err := r.callPeer(ctx, peer, q.path())
	if err != nil {
		return config.Head{}, trace.Wrap(err)
	}
	var answer headAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return config.Head{}, trace.BadParameter("head of %s: %v", peer, err)
	}
	if answer.VMRevision > r.state.Load().vms.revision {
		r.fetchVMs(ctx, peer)
	}
	return answer.head(), nil
}

func (r *run) callPeer(ctx context.Context, peer distribution.Source, path string) ([]byte, error) {
	address, ok := r.state.Load().vms.address(string(peer))
	if !ok {
		return nil, trace.NotFound("peer %s is not in the list of VMs", peer)
	}
	r.meters.peerCalls.Inc()
	data, err := r.options.Transport.RoundTrip(ctx, address, http.MethodGet, path, nil)
	r.meters.receivedByte.Add(len(data))
	return data, trace.Wrap(err)
}

// fetch gets and validates a configuration.
func (r *run) fetch(ctx context.Context, f distribution.Fetch) {
	st, err := r.load(ctx, f)
	var faults config.Errors
	switch {
	case err == nil:
		r.post(ctx, input{event: distribution.Fetched{From: f.From, Head: st.head}, fetched: st})
	case errors.As(err, &faults):
		r.log.Error("configuration is not valid", telemetry.Version(f.Head.Version), zap.Stringer("from", f.From),
			zap.Int("faults", len(faults)), zap.Strings(telemetry.KeyError, firstLines(faults)))
		r.post(ctx, input{event: distribution.Invalid(f)})
	default:
		if f.From == distribution.Platform {
			// The next poll reports the manifest again.
			r.platformState.forget()
		}
		r.log.Warn("configuration could not be fetched", telemetry.Version(f.Head.Version), zap.Stringer("from", f.From), telemetry.Error(err))
		r.post(ctx, input{event: distribution.FetchFailed(f)})
	}
}

// firstLines bounds a log line.
func firstLines(faults config.Errors) []string {
	const most = 20
	var out []string
	for _, f := range faults[:min(len(faults), most)] {
		out = append(out, f.Error())
	}
	return out
}

func (r *run) load(ctx context.Context, f distribution.Fetch) (*state, error) {
	r.fetches.Lock()
	defer r.fetches.Unlock()
	m, err := r.manifest(ctx, f)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	before, parts := r.state.Load().parts, newPartSet()
	known := func(ref config.PartRef) ([]byte, bool) { return plainPart(ref, parts, before) }
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

// plainPart returns a part that is there already. A part of the state before
// is used only if the assembler does not know it, which happens after a
// restart of the loop.
func plainPart(ref config.PartRef, sets ...*partSet) ([]byte, bool) {
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

// manifest returns the manifest of the head, or one above it if the origin
// has moved on.
func (r *run) manifest(ctx context.Context, f distribution.Fetch) (config.Manifest, error) {
	if f.From == distribution.Platform {
		r.platformState.Lock()
		defer r.platformState.Unlock()
		return r.platformState.manifest, checkHead(r.platformState.manifest, f.Head)
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	data, err := r.callPeer(ctx, f.From, manifestPath)
	if err != nil {
		return config.Manifest{}, trace.Wrap(err)
	}
	var m config.Manifest
	if err := cbor.Unmarshal(data, &m); err != nil {
		return config.Manifest{}, trace.BadParameter("manifest of %s: %v", f.From, err)
	}
	return m, checkHead(m, f.Head)
}

func checkHead(m config.Manifest, want config.Head) error {
	if config.HeadLess(m.Head(), want) {
		return trace.NotFound("manifest is %s, which is below %s", m.Head(), want)
	}
	return nil
}

// fetchParts gets several parts at once and returns the first error.
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
	// A panic on this goroutine would end the process.
	defer func() {
		if p := recover(); p != nil {
			r.meters.panics.Inc()
			err = trace.Errorf("part %s: panic: %v", ref.Name, p)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	compressed, plain, err := r.readPart(ctx, from, ref)
	if err != nil {
		return trace.Wrap(err, "part %s", ref.Name)
	}
	// A part that was altered on the way says nothing about the
	// configuration, so that this is not a validation error.
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
		r.meters.receivedByte.Add(len(v.Data))
		return compress(v.Data), v.Data, nil
	}
	compressed, err = r.callPeer(ctx, from, partPath+ref.SHA256.String())
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	plain, err = decompress(compressed, config.MaxPartBytes)
	return compressed, plain, trace.Wrap(err)
}
