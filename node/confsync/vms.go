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
	// maxVMsBytes bounds a decompressed list of VMs, in bytes: 14,000 VMs
	// take under 4 MB.
	maxVMsBytes = 32 << 20
	// maxDeltas bounds the changes of the list that are kept for peers.
	maxDeltas = 64
	// vmsPausePerVM is the least time between two reads of the list by a
	// reader, per VM in the list. The whole list is read, about 200 bytes per
	// VM, so that this bounds it to 7 KB/s in a fleet of any size. The list
	// lags anyway, and the tree works with wrong entries.
	vmsPausePerVM = 30 * time.Millisecond
	// minVMsPause is the least pause of all.
	minVMsPause = 100 * time.Millisecond
)

// vmList is a list of VMs with the platform's revision of it. It is
// immutable.
type vmList struct {
	revision uint64
	vms      []config.VM
	// listed says that there is a list, which may be empty.
	listed bool
	// authoritative marks a list that the platform gave to this process. It
	// replaces every other, whatever its revision, because revisions start
	// again when the platform does.
	authoritative bool
	// deltas lead up to this list, oldest first.
	deltas []vmDelta
}

// vmDelta is the change from one revision to the next that this process had.
type vmDelta struct {
	from, to uint64
	changed  []config.VM
	removed  []string
}

// vmUpdate is the answer to a question for the list: a whole list, or what
// changed since a revision.
type vmUpdate struct {
	Whole    bool        `cbor:"1,keyasint"`
	Revision uint64      `cbor:"2,keyasint"`
	VMs      []config.VM `cbor:"3,keyasint"`
	Removed  []string    `cbor:"4,keyasint"`
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

// after returns l with the deltas that lead to it from before.
func (l vmList) after(before vmList) vmList {
	if !before.listed || l.revision <= before.revision {
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
	kept := before.deltas[max(0, len(before.deltas)-maxDeltas+1):]
	l.deltas = append(append([]vmDelta{}, kept...), d)
	return l
}

// updateSince returns what a peer with a revision needs.
func (l vmList) updateSince(revision uint64) vmUpdate {
	for i, d := range l.deltas {
		if d.from == revision {
			return mergeDeltas(l.revision, l.deltas[i:])
		}
	}
	return vmUpdate{Whole: true, Revision: l.revision, VMs: l.vms}
}

func mergeDeltas(revision uint64, deltas []vmDelta) vmUpdate {
	last := map[string]*config.VM{}
	for _, d := range deltas {
		for i := range d.changed {
			last[d.changed[i].Name] = &d.changed[i]
		}
		for _, name := range d.removed {
			last[name] = nil
		}
	}
	u := vmUpdate{Revision: revision}
	for name, vm := range last {
		if vm == nil {
			u.Removed = append(u.Removed, name)
		} else {
			u.VMs = append(u.VMs, *vm)
		}
	}
	return u
}

// apply returns the list that an update leads to.
func (l vmList) apply(u vmUpdate) vmList {
	if u.Whole {
		return vmList{revision: u.Revision, vms: u.VMs, listed: true}
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
	return vmList{revision: u.Revision, vms: out, listed: true}
}

func (u vmUpdate) encode() ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return compress(data), nil
}

func decodeUpdate(data []byte) (u vmUpdate, err error) {
	plain, err := decompress(data, maxVMsBytes)
	if err != nil {
		return u, trace.Wrap(err)
	}
	if err := cbor.Unmarshal(plain, &u); err != nil {
		return u, trace.BadParameter("list of VMs: %v", err)
	}
	return u, nil
}

// adoptVMs puts a list in force and reports whether it is news.
func (r *run) adoptVMs(next vmList) bool {
	old := r.state.Load()
	if old.vms.listed && (next.revision == old.vms.revision || !next.authoritative && next.revision < old.vms.revision) {
		return false
	}
	st := *old
	st.vms, st.changed = next.after(old.vms), make(chan struct{})
	r.state.Store(&st)
	close(old.changed)
	r.nextRefresh = time.Now().Add(max(vmsRefresh, time.Duration(len(next.vms))*vmsRefreshPerVM))
	r.log.Debug("list of VMs changed", zap.Int("vms", len(next.vms)), zap.Uint64("revision", next.revision))
	return true
}

func (s *Sync) postVMs(ctx context.Context, list vmList) {
	s.post(ctx, input{event: distribution.VMList{VMs: list.vms}, vms: &list})
}

// refreshVMs reads the list from the platform now and then.
func (r *run) refreshVMs() {
	if r.endVMs != nil || !r.state.Load().vms.listed || time.Now().Before(r.nextRefresh) {
		return
	}
	r.nextRefresh = time.Now().Add(max(vmsRefresh, time.Duration(len(r.state.Load().vms.vms))*vmsRefreshPerVM))
	r.spawn(func() { r.readVMs(r.ctx) }, distribution.Tick{})
}

// readVMs reads the list from the platform once.
func (r *run) readVMs(ctx context.Context) {
	v, err := r.options.Platform.Get(ctx, platform.KeyVMs)
	r.notePlatformVMs(r.ctx, v, err)
}

// watchVMs follows the list on the platform. Its failures are not reported to
// the machine: the poll of the manifest fails at the same time.
func (r *run) watchVMs(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		v, err := r.options.Platform.Watch(ctx, platform.KeyVMs, after, platformWait)
		// Revisions may start again with a platform that comes back.
		after = 0
		if err == nil {
			after = v.Revision
		}
		r.notePlatformVMs(ctx, v, err)
		pause := max(minVMsPause, time.Duration(len(r.VMs()))*vmsPausePerVM)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// notePlatformVMs hands a list of the platform to the loop. A platform
// without a list has an empty one.
func (r *run) notePlatformVMs(ctx context.Context, v platform.Value, err error) {
	list := vmList{revision: v.Revision, listed: true, authoritative: true}
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

// fetchVMs gets a newer list from a peer.
func (r *run) fetchVMs(ctx context.Context, peer distribution.Source) {
	have := r.state.Load().vms
	data, err := r.callPeer(ctx, peer, fmt.Sprintf("%s?since=%d", vmsPath, have.revision))
	if err == nil {
		var u vmUpdate
		if u, err = decodeUpdate(data); err == nil {
			r.postVMs(ctx, have.apply(u))
			return
		}
	}
	r.log.Debug("list of VMs could not be fetched", zap.Stringer(telemetry.KeyPeer, peer), telemetry.Error(err))
}
