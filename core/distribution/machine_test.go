package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

type (
	event  = distribution.Event
	action = distribution.Action
)

func head(version uint64, hash byte) config.Head {
	return config.Head{Version: version, Hash: config.Hash{hash}}
}

// fleet returns n live VMs that are distributed over data centres.
func fleet(n, dataCentres int) []config.VM {
	vms := make([]config.VM, n)
	for i := range vms {
		vms[i] = config.VM{Name: fmt.Sprintf("vm-%05d", i), DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres), State: config.VMLive}
	}
	return vms
}

// follower returns a started Machine that is not a reader, and its parents.
func follower(t *testing.T) (*distribution.Machine, []distribution.Source) {
	t.Helper()
	vms := fleet(40, 1)
	for _, vm := range vms {
		m := distribution.New(distribution.Options{Self: vm.Name, DataCentre: "dc-00", Seed: 1})
		m.Step(0, distribution.Start{})
		m.Step(0, distribution.VMList{VMs: vms})
		if !m.Position().Reader {
			return m, m.Position().Parents
		}
	}
	t.Fatal("no follower")
	return nil, nil
}

func find[T action](actions []action) (out []T) {
	for _, a := range actions {
		if one, ok := a.(T); ok {
			out = append(out, one)
		}
	}
	return out
}

// Guards against a tree with cycles, with processes without parents, or with more
// than three readers per data centre.
func TestPositions(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 30, 600} {
		vms, readers, children := fleet(n, 1), 0, map[distribution.Source]int{}
		parents := map[distribution.Source][]distribution.Source{}
		for _, vm := range vms {
			p := distribution.PositionOf(vms, vm.Name, "dc-00")
			if p.Reader {
				readers++
				continue
			}
			assert.Assert(t, len(p.Parents) == 2 && p.Parents[0] != p.Parents[1])
			parents[distribution.Source(vm.Name)] = p.Parents
			children[p.Parents[0]]++
		}
		assert.Equal(t, readers, min(n, distribution.Readers))
		for _, count := range children {
			assert.Assert(t, count <= distribution.FanOut)
		}
		for name := range parents {
			depth := 0
			for at := name; len(parents[at]) > 0; at = parents[at][depth%2] {
				depth++
				assert.Assert(t, depth <= 2*n, "cycle above %s", name)
			}
		}
	}
	leaving := fleet(5, 1)
	for i := range leaving {
		leaving[i].State = config.VMLeaving
	}
	assert.Assert(t, distribution.PositionOf(leaving, "new", "dc-00").Reader, "a leaving VM is a parent")
}

// Guards against a process that adopts a lower head, and against processes that
// do not agree between two configurations with the same version.
func TestNeverLower(t *testing.T) {
	m, _ := follower(t)
	m.Step(1, distribution.Fetched{From: "a", Head: head(5, 5)})
	for _, lower := range []config.Head{head(4, 9), head(5, 4), head(5, 5), {}} {
		out := m.Step(1, distribution.PeerQueried{From: "b", Head: lower})
		assert.Equal(t, len(find[distribution.Fetch](out)), 0)
		out = m.Step(1, distribution.Fetched{From: "b", Head: lower})
		assert.Equal(t, len(find[distribution.Adopt](out)), 0)
	}
	out := m.Step(1, distribution.PeerQueried{From: "b", Head: head(5, 6)})
	assert.DeepEqual(t, find[distribution.Alarm](out), []distribution.Alarm{{Kind: distribution.AlarmConflict, From: "b", Head: head(5, 6)}})
	assert.DeepEqual(t, find[distribution.Fetch](out), []distribution.Fetch{{From: "b", Head: head(5, 6)}})
	out = m.Step(1, distribution.Fetched{From: "b", Head: head(5, 6)})
	assert.DeepEqual(t, find[distribution.Adopt](out), []distribution.Adopt{{Head: head(5, 6)}})
}

// Guards against an invalid configuration that is fetched again or that blocks
// the next one.
func TestInvalid(t *testing.T) {
	m, _ := follower(t)
	m.Step(1, distribution.PeerQueried{From: "a", Head: head(2, 1)})
	out := m.Step(1, distribution.Invalid{From: "a", Head: head(2, 1)})
	assert.Equal(t, find[distribution.Alarm](out)[0].Kind, distribution.AlarmInvalid)
	out = m.Step(1, distribution.PeerQueried{From: "b", Head: head(2, 1)})
	assert.Equal(t, len(find[distribution.Fetch](out)), 0)
	out = m.Step(1, distribution.PeerQueried{From: "b", Head: head(3, 1)})
	assert.Equal(t, len(find[distribution.Fetch](out)), 1)
}

// Guards against a starting process that uses the configuration of a stale
// platform while peers have a higher one, and against one that waits for dead
// peers indefinitely.
func TestStart(t *testing.T) {
	cases := []struct {
		name   string
		events []event
		at     time.Duration
		want   config.Head
		ready  bool
	}{
		{"a peer has more than the platform", []event{
			distribution.QueryAnswered{From: distribution.Platform, Head: head(1, 1)},
			distribution.QueryAnswered{From: "vm-00001", Head: head(2, 1)},
			distribution.QueryFailed{From: "vm-00002"}, distribution.QueryFailed{From: "vm-00000"},
			distribution.Fetched{From: "vm-00001", Head: head(2, 1)}}, 1, head(2, 1), true},
		{"the second peer has not answered", []event{
			distribution.QueryAnswered{From: distribution.Platform, Head: head(1, 1)},
			distribution.Fetched{From: distribution.Platform, Head: head(1, 1)},
			distribution.QueryFailed{From: "vm-00001"}}, 1, head(1, 1), false},
		{"no peer answers in time", []event{
			distribution.QueryAnswered{From: distribution.Platform, Head: head(1, 1)},
			distribution.Fetched{From: distribution.Platform, Head: head(1, 1)},
			distribution.Tick{}}, distribution.StartWait, head(1, 1), true},
		{"nobody answers", []event{
			distribution.QueryFailed{From: distribution.Platform}, distribution.QueryFailed{From: "vm-00001"},
			distribution.Tick{}}, time.Hour, config.Head{}, false},
	}
	for _, c := range cases {
		m := distribution.New(distribution.Options{Self: "vm-00003", DataCentre: "dc-00", Seed: 2})
		m.Step(0, distribution.Start{})
		out := m.Step(0, distribution.VMList{VMs: fleet(4, 4)})
		assert.Equal(t, len(find[distribution.Query](out)), distribution.StartPeers)
		for _, ev := range c.events {
			m.Step(c.at, ev)
		}
		assert.Equal(t, m.Current(), c.want, c.name)
		assert.Equal(t, m.Ready(), c.ready, c.name)
	}
}

// Guards against a process that gets no changes because its parent is dead, and
// against polls without backoff when both parents are dead.
func TestParentFails(t *testing.T) {
	m, parents := follower(t)
	out := m.Step(0, distribution.PollFailed{ID: 1, From: parents[0]})
	assert.DeepEqual(t, find[distribution.Poll](out), []distribution.Poll{{ID: 2, From: parents[1]}})
	out = m.Step(0, distribution.PollFailed{ID: 2, From: parents[1]})
	assert.Equal(t, len(find[distribution.Poll](out)), 0)
	var alarms []distribution.Alarm
	for now := time.Duration(0); now < 20*time.Second; now += distribution.TickEvery {
		out = m.Step(now, distribution.Tick{})
		alarms = append(alarms, find[distribution.Alarm](out)...)
		for _, p := range find[distribution.Poll](out) {
			m.Step(now, distribution.PollFailed{ID: p.ID, From: p.From})
		}
	}
	assert.Assert(t, len(alarms) >= 1 && alarms[0].Kind == distribution.AlarmOrphan)
}

// Guards against a process that becomes ready without a list of VMs and stops
// querying for the list. Such a process has nobody to poll.
func TestListIsQueriedUntilItArrives(t *testing.T) {
	m := distribution.New(distribution.Options{Self: "vm-00001", DataCentre: "dc-00", Seed: 1})
	m.Step(0, distribution.Start{})
	m.Step(1, distribution.QueryAnswered{From: distribution.Platform, Head: head(1, 1)})
	m.Step(distribution.StartWait, distribution.Tick{})
	m.Step(distribution.StartWait, distribution.Fetched{From: distribution.Platform, Head: head(1, 1)})
	assert.Assert(t, m.Ready())
	queries := 0
	for now := distribution.StartWait; now < 10*time.Second; now += distribution.TickEvery {
		queries += len(find[distribution.Query](m.Step(now, distribution.Tick{})))
	}
	assert.Assert(t, queries >= 3)
}

// Guards against continuous polls of a parent that answers at once with nothing
// new, and against a delay after a single such answer.
func TestEmptyPolls(t *testing.T) {
	m, parents := follower(t)
	polls := 0
	for id := uint64(1); polls < 100; id++ {
		out := m.Step(1, distribution.Polled{ID: id, From: parents[0]})
		if len(find[distribution.Poll](out)) == 0 {
			break
		}
		polls++
	}
	assert.Equal(t, polls, 3)
}

// Guards against a process that does not query its peers after a pause.
func TestPause(t *testing.T) {
	m, _ := follower(t)
	m.Step(0, distribution.Tick{})
	out := m.Step(time.Minute, distribution.Tick{})
	assert.Equal(t, find[distribution.Alarm](out)[0].Kind, distribution.AlarmPaused)
	assert.Equal(t, len(find[distribution.Poll](out)), 1)
	assert.Assert(t, len(find[distribution.Query](out)) >= distribution.StartPeers)
}
