package flowtable

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

const ms = time.Millisecond

var agent = fleettest.Agent(0)

func table(run uint64, earlier ...uint64) *Table {
	return &Table{Agent: agent, Run: run, EarlierRuns: earlier, Target: netip.AddrPortFrom(agent, 80), TargetStartUnixMS: 7,
		Flows: []Flow{{Key: fleettest.Key(uint16(run)), Accepted: true, Opened: true, BaseKnown: true, Base: 5000, Top: 6000}}}
}

func entry(t *testing.T, table *Table) *Entry {
	b, err := table.Encode()
	assert.NilError(t, err)
	return &Entry{Table: b}
}

// Guards against a table that comes back with other flows, sequence numbers,
// probes or ages than the agent had.
func TestTableSurvivesTheTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, 60_000).Draw(t, "ms")) * ms
		})
		in := table(rapid.Uint64().Draw(t, "run"), rapid.SliceOfN(rapid.Uint64(), 1, 4).Draw(t, "earlier")...)
		in.DoubtFor, in.DoubtLeft = age.Draw(t, "for"), age.Draw(t, "left")
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		number := func(name string) uint32 { return rapid.Uint32().Draw(t, name) }
		for n := range rapid.IntRange(1, 20).Draw(t, "flows") {
			in.Flows = append(in.Flows, Flow{Key: fleettest.Key(uint16(n)), Accepted: flag("accepted"), Opened: flag("opened"), Busy: flag("busy"), CallerClosed: flag("caller closed"),
				TargetClosed: flag("target closed"), BaseKnown: flag("base known"), Base: number("base"), Top: number("top"), CallerTopKnown: flag("caller top known"),
				CallerTop: number("caller top"), OpenSeqKnown: flag("open known"), OpenSeq: number("open"), SinceSeen: age.Draw(t, "seen"), Origin: fleettest.Agent(1), Home: fleettest.Agent(2)})
			in.Probes = append(in.Probes, Probes{Key: fleettest.Key(uint16(n)), Ages: rapid.SliceOfN(age, 1, 3).Draw(t, "ages"), Denied: flag("denied"), Doubted: flag("doubted"), SinceDoubted: age.Draw(t, "doubted")})
		}
		b, err := in.Encode()
		assert.NilError(t, err)
		out, err := Decode(b)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(out), fmt.Sprint(in))
	})
}

// Guards against a transfer that was cut off and counts as a table with fewer
// flows, whose other flows would be denied.
func TestPartOfATableIsNoTable(t *testing.T) {
	e := entry(t, table(1))
	for n := range e.Table {
		_, err := Decode(e.Table[:n])
		assert.Assert(t, err != nil, "%d of %d bytes decode", n, len(e.Table))
		assert.Assert(t, NewRetention().Put(0, &Entry{Table: e.Table[:n]}) != nil, "%d of %d bytes are kept", n, len(e.Table))
	}
	whole := e.Encode()
	for n := range whole {
		_, err := DecodeEntry(whole[:n])
		assert.Assert(t, err != nil, "%d of %d bytes decode", n, len(whole))
	}
}

// Guards against releases that cannot exchange tables: a field of a later release
// must be ignored, and a format of a later release must be refused.
func TestTablesOfALaterRelease(t *testing.T) {
	var fields map[int]any
	assert.NilError(t, cbor.Unmarshal(entry(t, table(1)).Table, &fields))
	fields[99] = []string{"unknown"}
	b, err := cbor.Marshal(fields)
	assert.NilError(t, err)
	out, err := Decode(b)
	assert.NilError(t, err)
	assert.Equal(t, len(out.Flows), 1)
	assert.NilError(t, NewRetention().Put(0, &Entry{Table: b}))

	fields[1] = Format + 1
	b, err = cbor.Marshal(fields)
	assert.NilError(t, err)
	_, err = Decode(b)
	assert.Assert(t, errors.Is(err, ErrFormat))
	assert.Assert(t, errors.Is(NewRetention().Put(0, &Entry{Table: b}), ErrFormat))
}

// Guards against decoders that panic on bytes from another process.
func FuzzDecode(f *testing.F) {
	b, err := table(1, 2).Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Add((&Entry{Age: ms, Table: b}).Encode())
	f.Add((&Answer{Runs: []uint64{1}, Table: b, Age: ms}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if table, err := Decode(b); err == nil {
			again, err := table.Encode()
			assert.NilError(t, err)
			_, err = Decode(again)
			assert.NilError(t, err)
		}
		if e, err := DecodeEntry(b); err == nil {
			_ = NewRetention().Put(0, e)
		}
		if a, err := DecodeAnswer(b); err == nil {
			_ = NewRestore(agent, 1).Record(0, agent, a)
		}
	})
}

// Guards against a table that is used by a second run: the first one may have
// opened flows that the table lacks, and may have been killed.
func TestTableIsForOneRun(t *testing.T) {
	r := NewRetention()
	assert.NilError(t, r.Put(0, entry(t, table(1))))
	for range 2 { // The answer may be lost, so the run may ask again.
		a := r.Claim(100*ms, agent, 2)
		assert.Assert(t, a.Table != nil)
		assert.Equal(t, a.Age, 100*ms)
	}
	a := r.Claim(200*ms, agent, 3)
	assert.Assert(t, a.Table == nil)
	assert.DeepEqual(t, a.Runs, []uint64{2})
	r.Claim(200*ms+claimedRetention, agent, 2)
	_, bytes := r.Size()
	assert.Equal(t, bytes, 0)
}

// Guards against a table of an agent that has run since: it arrives late, for
// example because the keeper stood still, or is passed on late.
func TestKeeperRefusesOutdatedTables(t *testing.T) {
	r := NewRetention()
	r.Claim(0, agent, 2)
	assert.Assert(t, errors.Is(r.Put(ms, entry(t, table(1))), ErrOutdated))
	assert.NilError(t, r.Put(ms, entry(t, table(2))))
	r.Claim(2*ms, agent, 3)
	assert.Assert(t, errors.Is(r.Put(3*ms, entry(t, table(2))), ErrOutdated))
	assert.NilError(t, r.Put(3*ms, entry(t, table(3, 2))))
	e := entry(t, table(4, 3, 2))
	e.Age = MaxAge
	assert.Assert(t, errors.Is(r.Put(4*ms, e), ErrOutdated))
}

// Guards against tables that are kept without bounds.
func TestRetentionIsBounded(t *testing.T) {
	r := NewRetention()
	big := table(1)
	for n := range 20_000 {
		big.Flows = append(big.Flows, Flow{Key: fleettest.Key(uint16(n)), Accepted: true, Opened: true, BaseKnown: true, Base: 1 << 31, Top: 1 << 31, CallerTopKnown: true,
			CallerTop: 1 << 31, OpenSeqKnown: true, OpenSeq: 1 << 31, SinceSeen: 5 * time.Second})
	}
	for n := range byte(30) {
		big.Agent = fleettest.Agent(n)
		_ = r.Put(0, entry(t, big))
	}
	tables, bytes := r.Size()
	t.Logf("%d tables of %d flows in %d bytes", tables, len(big.Flows), bytes)
	assert.Assert(t, tables >= 10 && bytes <= maxBytes)
	big.Flows = nil
	for n := range byte(100) {
		big.Agent = fleettest.Agent(n)
		_ = r.Put(0, entry(t, big))
	}
	tables, _ = r.Size()
	assert.Equal(t, tables, maxTables)
	for run := range uint64(100) {
		r.Claim(0, agent, run)
	}
	assert.Equal(t, len(r.runs[agent]), maxRunsPerAgent)
	r.Expire(MaxAge)
	tables, bytes = r.Size()
	assert.Equal(t, tables+bytes+len(r.runs), 0)
}

// Guards against tables that end with their keeper when it stops too, and against
// tables of running agents that are passed on.
func TestStoppingKeeperPassesTablesOn(t *testing.T) {
	r := NewRetention()
	other := table(5)
	other.Agent = fleettest.Agent(1)
	assert.NilError(t, r.Put(0, entry(t, table(1))))
	assert.NilError(t, r.Put(0, entry(t, other)))
	r.Claim(10*ms, fleettest.Agent(1), 6)
	left := r.Close(20 * ms)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].Agent, agent)
	assert.Equal(t, left[0].Age, 20*ms)
	assert.Assert(t, errors.Is(r.Put(20*ms, entry(t, table(2, 1))), ErrClosed))
	assert.Assert(t, r.Claim(20*ms, agent, 2).Table != nil, "the agent started before the table was passed on")
}

// Guards against a starting agent that does not ask the keepers of its table after
// the membership has changed.
func TestKeepersAreFoundAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := fleet.Member{VM: agent, DataCentre: "dc-0"}
		var before []fleet.Member
		for n := range rapid.ByteRange(3, 60).Draw(t, "agents") {
			before = append(before, fleet.Member{VM: fleettest.Agent(n), DataCentre: fmt.Sprintf("dc-%d", n%3)})
		}
		sent := Keepers(before, owner)[:Copies]
		var after []fleet.Member
		gone := rapid.IntRange(0, 3).Draw(t, "gone")
		for _, m := range before {
			if gone > 0 && m.VM != sent[0] && rapid.Bool().Draw(t, "leaves") {
				gone--
				continue
			}
			after = append(after, m)
		}
		for n := range rapid.ByteRange(0, 5).Draw(t, "added") {
			after = append(after, fleet.Member{VM: fleettest.Agent(100 + n), DataCentre: "dc-0"})
		}
		asked := Keepers(after, owner)
		assert.Assert(t, len(asked) <= MaxKeepers)
		found := false
		for _, a := range asked {
			assert.Assert(t, a != owner.VM)
			found = found || a == sent[0]
		}
		assert.Assert(t, found, "sent to %v, asked %v", sent, asked)
	})
}

// Guards against an agent that has no keepers because the entries of all targets
// lapsed in an outage of the platform.
func TestKeepersDuringAnOutage(t *testing.T) {
	v := fleettest.View(0, fleettest.Ready(5)...)
	owner := fleet.Member{VM: agent, DataCentre: fleettest.DataCentre}
	before := Keepers(Members(v, 0), owner)
	assert.Equal(t, len(before), 4)
	d := &fleet.Delta{Revision: fleettest.Revision + 5}
	for n, target := range fleettest.Ready(5) {
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: fleettest.Revision + 1 + uint64(n)})
	}
	v.Apply(time.Second, d)
	assert.Equal(t, len(Members(v, time.Second)), 0)
	v.RecordDisturbance(time.Second)
	assert.Equal(t, fmt.Sprint(Keepers(Members(v, time.Second), owner)), fmt.Sprint(before))
}
