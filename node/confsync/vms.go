package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
	"trefoilweir.example/node/platform"
	"trefoilweir.example/node/telemetry"
)

const (
	// maxVMListBytes limits a decompressed list of VMs. 14,000 VMs take under
	// 4 MB.
	maxVMListBytes = 32 << 20
	// maxVMDeltas limits the changes of the list that are kept for peers.
	maxVMDeltas = 64
	// vmWatchPausePerVM is the minimum pause between two reads of the list by a
	// reader, per VM in the list. A reader reads the full list, about 200 bytes
	// per VM, so that the pause limits the traffic to 7 KB/s in a fleet of any
	// size. The delay is acceptable, because the list is never quite up to date
	// and the tree of processes works with wrong entries.
	vmWatchPausePerVM = 30 * time.Millisecond
	// minVMWatchPause is the minimum pause for a list of any length.
	minVMWatchPause = 100 * time.Millisecond
)

// vmRevision orders lists of VMs. The platform counts revisions up within an epoch.
type vmRevision struct{ epoch, number uint64 }

func (r vmRevision) less(o vmRevision) bool {
	return r.epoch < o.epoch || r.epoch == o.epoch && r.number < o.number
}

// vmList is a list of VMs with its revision on the platform. It is immutable.
type vmList struct {
	revision vmRevision
	vms      []config.VM
	// loaded reports whether a list has been received. It may be empty.
	loaded bool
	// authoritative marks a list that this process read from the platform. It
	// replaces a list of any other revision of its epoch, also of a higher one,
	// because a platform that does not count epochs may start again.
	authoritative bool
	// deltas are the latest changes that led to this list, oldest first.
	deltas []vmDelta
}

// vmDelta is the change between two successive revisions that this process had.
type vmDelta struct {
	from, to vmRevision
	changed  []config.VM
	removed  []string
}

// vmUpdate is the response to a request for the list of VMs. If Full is set, it
// holds the full list, otherwise the changes since the requested revision.
type vmUpdate struct {
	Full     bool        `cbor:"1,keyasint"`
	Revision uint64      `cbor:"2,keyasint"`
	VMs      []config.VM `cbor:"3,keyasint"`
	Removed  []string    `cbor:"4,keyasint"`
	Epoch    uint64      `cbor:"5,keyasint,omitempty"`
}

// address returns the peer address of a VM.
func (l *vmList) address(name string) (netip.AddrPort, bool) {
	for i := range l.vms {
		if l.vms[i].Name == name {
			return l.vms[i].PeerAddress, l.vms[i].PeerAddress.IsValid()
		}
	}
	return netip.AddrPort{}, false
}

// withDeltasSince returns l with the deltas of an earlier list and the change
// from that list to l.
func (l vmList) withDeltasSince(before vmList) vmList {
	if !before.loaded || !before.revision.less(l.revision) {
		return l
	}
	d := vmDelta{from: before.revision, to: l.revision}
	old := make(map[string]*config.VM, len(before.vms))
	for i := range before.vms {
		old[before.vms[i].Name] = &before.vms[i]
	}
	for _, vm := range l.vms {
		if was, ok := old[vm.Name]; !ok || *was != vm {
			d.changed = append(d.changed, vm)
		}
		delete(old, vm.Name)
	}
	for name := range old {
		d.removed = append(d.removed, name)
	}
	kept := before.deltas[max(0, len(before.deltas)-maxVMDeltas+1):]
	l.deltas = append(append([]vmDelta{}, kept...), d)
	return l
}

// updateSince returns the update for a peer that has the list of the given
// revision. It is a full list if the deltas do not reach back to that revision.
func (l vmList) updateSince(revision vmRevision) vmUpdate {
	for i, d := range l.deltas {
		if d.from == revision {
			return mergeDeltas(l.revision, l.deltas[i:])
		}
	}
	return vmUpdate{Full: true, Epoch: l.revision.epoch, Revision: l.revision.number, VMs: l.vms}
}

func mergeDeltas(revision vmRevision, deltas []vmDelta) vmUpdate {
	last := map[string]*config.VM{}
	for _, d := range deltas {
		for i := range d.changed {
			last[d.changed[i].Name] = &d.changed[i]
		}
		for _, name := range d.removed {
			last[name] = nil
		}
	}
	u := vmUpdate{Epoch: revision.epoch, Revision: revision.number}
	for name, vm := range last {
		if vm == nil {
			u.Removed = append(u.Removed, name)
		} else {
			u.VMs = append(u.VMs, *vm)
		}
	}
	return u
}

// apply returns the list that results from an update of l.
func (l vmList) apply(u vmUpdate) vmList {
	if u.Full {
		return vmList{revision: u.revision(), vms: u.VMs, loaded: true}
	}
	changed := make(map[string]config.VM, len(u.VMs))
	for _, vm := range u.VMs {
		changed[vm.Name] = vm
	}
	removed := make(map[string]bool, len(u.Removed))
	for _, name := range u.Removed {
		removed[name] = true
	}
	out := make([]config.VM, 0, len(l.vms)+len(u.VMs))
	for _, vm := range l.vms {
		if next, ok := changed[vm.Name]; ok {
			vm = next
			delete(changed, vm.Name)
		}
		if !removed[vm.Name] {
			out = append(out, vm)
		}
	}
	for _, vm := range u.VMs {
		if _, left := changed[vm.Name]; left {
			out = append(out, vm)
		}
	}
	return vmList{revision: u.revision(), vms: out, loaded: true}
}

func (u vmUpdate) revision() vmRevision { return vmRevision{u.Epoch, u.Revision} }

func (u vmUpdate) encode() ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return compress(data), nil
}

func decodeVMUpdate(data []byte) (u vmUpdate, err error) {
	plain, err := decompress(data, maxVMListBytes)
	if err != nil {
		return u, trace.Wrap(err)
	}
	if err := cbor.Unmarshal(plain, &u); err != nil {
		return u, trace.BadParameter("list of VMs cannot be decoded: %v", err)
	}
	return u, nil
}

// adoptVMs makes next the current list and reports whether it did. It ignores a
// list of the current revision, one of an earlier epoch, and one of a lower revision
// unless the list is authoritative.
func (r *run) adoptVMs(next vmList) bool {
	old := r.state.Load()
	earlier := next.revision.less(old.vms.revision) && (!next.authoritative || next.revision.epoch < old.vms.revision.epoch)
	if old.vms.loaded && (next.revision == old.vms.revision || earlier) {
		return false
	}
	st := *old
	st.vms, st.changed = next.withDeltasSince(old.vms), make(chan struct{})
	r.state.Store(&st)
	close(old.changed)
	r.nextVMListRefresh = time.Now().Add(max(vmListRefresh, time.Duration(len(next.vms))*vmListRefreshPerVM))
	r.log.Debug("list of VMs changed", zap.Int("vms", len(next.vms)), zap.Uint64("epoch", next.revision.epoch), zap.Uint64("revision", next.revision.number))
	return true
}

func (s *Sync) postVMs(ctx context.Context, list vmList) {
	s.post(ctx, input{event: distribution.VMList{VMs: list.vms}, vms: &list})
}

// refreshVMs reads the list from the platform if a refresh is due. A process
// that watches the list needs no refresh.
func (r *run) refreshVMs() {
	if r.cancelVMWatch != nil || !r.state.Load().vms.loaded || time.Now().Before(r.nextVMListRefresh) {
		return
	}
	r.nextVMListRefresh = time.Now().Add(max(vmListRefresh, time.Duration(len(r.state.Load().vms.vms))*vmListRefreshPerVM))
	r.spawn(func() { r.readVMs(r.ctx) }, distribution.Tick{})
}

// readVMs reads the list from the platform once.
func (r *run) readVMs(ctx context.Context) {
	v, err := r.options.Platform.Get(ctx, platform.KeyVMs)
	r.postPlatformVMs(r.ctx, v, err)
}

// watchVMs watches the list on the platform until ctx ends. It does not report
// failures to the machine, because the poll of the manifest fails at the same
// time.
func (r *run) watchVMs(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		v, err := r.options.Platform.Watch(ctx, platform.KeyVMs, after, platformWait)
		// The platform may restart its revisions when it comes back.
		after = 0
		if err == nil {
			after = v.Revision
		}
		r.postPlatformVMs(ctx, v, err)
		pause := max(minVMWatchPause, time.Duration(len(r.VMs()))*vmWatchPausePerVM)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// postPlatformVMs posts a list that the platform returned. If the platform has
// no list, it posts an empty one.
func (r *run) postPlatformVMs(ctx context.Context, v platform.Value, err error) {
	list := vmList{revision: vmRevision{v.Epoch, v.Revision}, loaded: true, authoritative: true}
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return
	default:
		if err := json.Unmarshal(v.Data, &list.vms); err != nil {
			r.log.Warn("list of VMs on the platform is not valid", telemetry.Error(err))
			return
		}
	}
	r.postVMs(ctx, list)
}

// fetchVMs fetches a newer list from a peer and posts it.
func (r *run) fetchVMs(ctx context.Context, peer distribution.Source) {
	have := r.state.Load().vms
	data, err := r.callPeer(ctx, peer, fmt.Sprintf("%s?since=%d&epoch=%d", vmsPath, have.revision.number, have.revision.epoch))
	if err == nil {
		var u vmUpdate
		if u, err = decodeVMUpdate(data); err == nil {
			r.postVMs(ctx, have.apply(u))
			return
		}
	}
	r.log.Debug("list of VMs could not be fetched", zap.Stringer(telemetry.KeyPeer, peer), telemetry.Error(err))
}
