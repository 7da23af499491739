package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

const ms = time.Millisecond

func testLimits() Limits {
	return Limits{Slots: 1, HandOver: true, Bias: config.BiasLatency, Classes: []Class{
		{Name: "map", HoldsSlot: true, Deadline: 2 * time.Second}, {Name: "ticker"},
	}}
}

func testPeers() []Peer { return []Peer{{ID: "b", Slots: 1}, {ID: "c", Slots: 1, Draining: true}} }

// trace formats actions without tokens, grants and loads.
func trace(actions []Action) string {
	var parts []string
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			parts = append(parts, fmt.Sprintf("run %d", a.ID))
		case HandOver:
			parts = append(parts, fmt.Sprintf("over %d %s", a.ID, a.Peer))
		case Refuse:
			parts = append(parts, fmt.Sprintf("refuse %d %s", a.ID, a.Reason))
		case Answer:
			parts = append(parts, fmt.Sprintf("answer %d %s", a.ID, a.Verdict))
		case Send:
			if a.Message.Kind != Report {
				parts = append(parts, fmt.Sprintf("send %s %d", a.To, a.Message.Kind))
			}
		}
	}
	return joinParts(parts)
}

// lastMessage returns the last message in actions that is not a Report.
func lastMessage(actions []Action) Message {
	for i := len(actions) - 1; i >= 0; i-- {
		if s, ok := actions[i].(Send); ok && s.Message.Kind != Report {
			return s.Message
		}
	}
	return Message{}
}

// step is one event of a script and the actions that it leads to. runScript
// fills in tokens and grants from the last message sent.
type step struct {
	at   time.Duration
	ev   Event
	want string
}

// busyPeerMessage returns a message of a peer whose only slot is busy.
func busyPeerMessage(kind MessageKind) Event {
	return PeerMessage{From: "b", Message: Message{Kind: kind, Load: Load{Slots: 1, Busy: 1}}}
}

// loadedPeerMessage returns a message of a peer that has requests waiting.
func loadedPeerMessage(kind MessageKind) Message {
	return Message{Kind: kind, Load: Load{Slots: 1, Busy: 1, Waiting: 3, Utilization: 4}}
}

func runScript(t *testing.T, limits Limits, steps []step) {
	t.Helper()
	m := New(limits, testPeers(), 1)
	var sent Message
	for i, s := range steps {
		ev := s.ev
		if p, ok := ev.(PeerMessage); ok && (p.Message.Kind == Grant || p.Message.Kind == Deny) {
			p.Message.Token, p.Message.Grant = sent.Token, 77
			ev = p
		}
		if p, ok := ev.(PeerMessage); ok && p.Message.Kind == Release {
			p.Message.Grant = sent.Grant
			ev = p
		}
		if a, ok := ev.(Arrive); ok && a.Grant == 1 {
			a.Grant = sent.Grant
			ev = a
		}
		out := m.Step(s.at, ev)
		if msg := lastMessage(out); msg.Kind != 0 {
			sent = msg
		}
		assert.Equal(t, trace(out), s.want, "step %d: %#v", i, s.ev)
	}
	assert.Equal(t, len(m.pendingByToken), pendingCount(m))
}

func pendingCount(m *Machine) int {
	n := 0
	for _, r := range m.waiting {
		if r.pending != nil {
			n++
		}
	}
	return n
}

func TestScripts(t *testing.T) {
	noPeers := testLimits()
	noPeers.HandOver = false
	shortQueue := noPeers
	shortQueue.QueuePerSlot = 1
	oneConnection := noPeers
	oneConnection.Connections = 1
	reserve := PeerMessage{From: "b", Message: Message{Kind: Reserve, Token: 9}}
	tests := []struct {
		name   string // the failure that the script guards against
		limits Limits
		steps  []step
	}{
		{"a second request starts in an occupied slot, or never", noPeers, []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, ""}, {0, Arrive{ID: 1}, ""},
			{10 * ms, Done{ID: 1, Verdict: verdict.Ran}, "answer 1 ran; run 2"},
			{20 * ms, Done{ID: 1, Verdict: verdict.Ran}, ""},
			{20 * ms, Done{ID: 2, Verdict: verdict.Ran}, "answer 2 ran"},
		}},
		{"the queue grows beyond its bound", shortQueue, []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, ""}, {0, Arrive{ID: 3}, "refuse 3 queue_full"},
		}},
		{"a request starts after its deadline", noPeers, []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2, Deadline: 50 * ms}, ""},
			{40 * ms, Tick{}, ""}, {50 * ms, Tick{}, "refuse 2 deadline"},
		}},
		{"a ticker waits for a slot, or exceeds the connection limit", oneConnection, []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2, Class: "ticker"}, "run 2"},
			{0, Arrive{ID: 3, Class: "ticker"}, "refuse 3 connection_limit"},
		}},
		{"a cancelled request keeps its slot or its place in the queue", noPeers, []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, ""}, {0, Arrive{ID: 3}, ""},
			{1 * ms, Cancel{ID: 2}, "refuse 2 cancelled"},
			{2 * ms, Cancel{ID: 1}, "answer 1 may-have-run; run 3"},
			{3 * ms, Done{ID: 1, Verdict: verdict.Ran}, ""},
		}},
		{"a request is not handed over under its grant, or the result is lost", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, "send b 1"},
			{2 * ms, busyPeerMessage(Grant), "over 2 b"}, {3 * ms, busyPeerMessage(Grant), ""},
			{9 * ms, PeerResult{ID: 2, Peer: "b", Verdict: verdict.Ran}, "answer 2 ran"},
		}},
		{"a grant for a cancelled request stays reserved at the peer", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, "send b 1"},
			{1 * ms, Done{ID: 1, Verdict: verdict.Ran}, "answer 1 ran"},
			{2 * ms, Cancel{ID: 2}, "send b 5; refuse 2 cancelled"},
			{3 * ms, busyPeerMessage(Grant), "send b 5"},
		}},
		{"a lost reserve blocks its request", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, "send b 1"},
			{20 * ms, Tick{}, "send b 5"}, {30 * ms, Done{ID: 1, Verdict: verdict.Ran}, "answer 1 ran; run 2"},
		}},
		{"NotRun from a retry hides that the first attempt may have run", testLimits(), []step{
			{0, Arrive{ID: 1, Repeatable: true}, "run 1"},
			{1 * ms, Done{ID: 1, Verdict: verdict.MayHaveRun}, "send b 1"}, {2 * ms, busyPeerMessage(Grant), "over 1 b"},
			{3 * ms, PeerResult{ID: 1, Peer: "b", Verdict: verdict.NotRun}, "answer 1 may-have-run"},
		}},
		{"a request that may not be repeated runs twice", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {1 * ms, Done{ID: 1, Verdict: verdict.MayHaveRun}, "answer 1 may-have-run"},
		}},
		{"a request starts locally after Drain", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Drain{}, ""}, {0, Arrive{ID: 2}, "send b 1"},
			{1 * ms, Done{ID: 1, Verdict: verdict.Ran}, "answer 1 ran"}, {2 * ms, busyPeerMessage(Deny), ""},
			{5 * time.Second, Tick{}, "refuse 2 draining"},
		}},
		{"a grant issued before Drain is not honoured", testLimits(), []step{
			{0, reserve, "send b 2"}, {1 * ms, Drain{}, ""}, {2 * ms, Arrive{ID: 1, Grant: 1}, "run 1"},
			{3 * ms, Arrive{ID: 2, Grant: 1}, "refuse 2 grant_expired"}, {4 * ms, reserve, "send b 3"},
		}},
		{"a grant is honoured after its lifetime", testLimits(), []step{
			{0, reserve, "send b 2"}, {100 * ms, Arrive{ID: 1, Grant: 1}, "refuse 1 grant_expired"},
		}},
		{"a repeated reserve leads to two grants", testLimits(), []step{
			{0, reserve, "send b 2"}, {1 * ms, reserve, "send b 2"}, {2 * ms, Arrive{ID: 1, Grant: 1}, "run 1"},
			{2 * ms, Arrive{ID: 2, Grant: 1}, "refuse 2 grant_expired"},
		}},
		{"a paused process honours an old grant", testLimits(), []step{
			{0, reserve, "send b 2"}, {1500 * ms, Arrive{ID: 1, Grant: 1}, "refuse 1 grant_expired"},
		}},
		{"a request of a peer is handed over again", testLimits(), []step{
			{0, reserve, "send b 2"}, {1 * ms, Arrive{ID: 1, Grant: 1}, "run 1"},
			{2 * ms, Done{ID: 1, Verdict: verdict.NotRun}, "answer 1 not-run"},
		}},
		{"a freed slot stays idle while a peer waits", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"},
			{0, PeerMessage{From: "b", Message: Message{Kind: Reserve, Token: 9, ScoreLimit: 1.5}}, "send b 3"},
			{1 * ms, Done{ID: 1, Verdict: verdict.Ran}, "answer 1 ran; send b 4"},
		}},
		{"a peer that denies a reserve but reports to be idle receives the next one at once", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, "send b 1"},
			{1 * ms, PeerMessage{From: "b", Message: Message{Kind: Deny, Load: Load{Slots: 1}}}, ""},
			{1 * ms, Arrive{ID: 3}, ""}, {2*ms + contradictionBackoff, Arrive{ID: 4}, "send b 1"},
		}},
		// Reduced from a run of TestMachineAgainstNaive that did not end.
		{"a declined offer is repeated without a pause", testLimits(), []step{
			{0, PeerMessage{From: "b", Message: loadedPeerMessage(Report)}, "send b 4"},
			{0, PeerMessage{From: "b", Message: loadedPeerMessage(Release)}, ""},
			{10 * ms, PeerMessage{From: "b", Message: loadedPeerMessage(Release)}, "send b 4"},
		}},
		{"a repeated offer takes a second request", testLimits(), []step{
			{0, Arrive{ID: 1}, "run 1"}, {0, Arrive{ID: 2}, "send b 1"}, {1 * ms, busyPeerMessage(Deny), ""},
			{1 * ms, Arrive{ID: 3}, "send b 1"}, {2 * ms, busyPeerMessage(Deny), ""},
			{3 * ms, PeerMessage{From: "b", Message: Message{Kind: Offer, Grant: 5}}, "over 2 b"},
			{4 * ms, PeerMessage{From: "b", Message: Message{Kind: Offer, Grant: 5}}, ""},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { runScript(t, tc.limits, tc.steps) })
	}
}

// TestColdStartRampsSlots guards against a cold start that begins with all
// slots or never ends.
func TestColdStartRampsSlots(t *testing.T) {
	for at, want := range map[time.Duration]int{0: 1, 500 * ms: 2, 999 * ms: 3, time.Second: 4} {
		m := New(Limits{Slots: 4, ColdStart: time.Second}, nil, 1)
		m.Step(0, Tick{})
		m.Step(at, Tick{})
		assert.Equal(t, m.Load().Slots, want, "at %v", at)
	}
}

// TestBudgetHoldsInEveryWindow guards against a budget that allows more than its
// share of retries in any window of 10 s.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	var b budget
	var taken []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		b.request(now)
		if b.take(now, 10) {
			taken = append(taken, now)
		}
	}
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at < from+10*time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 100, "%d retries in the 10 s from %v", n, from)
	}
	assert.Assert(t, len(taken) > 300)
}

// TestMessageRoundTrip guards against message fields that are lost or changed by
// the encoding.
func TestMessageRoundTrip(t *testing.T) {
	in := Message{Kind: Deny, Token: 1, Grant: 2, Slotless: true, ScoreLimit: 0.5, Load: Load{Slots: 3, Busy: 2,
		Waiting: 1, Connections: 9, Draining: true, Cold: true, Full: true, ServiceTime: ms, Utilization: 0.25},
		PeerLoads: []PeerLoad{{Peer: "b", AgeMS: 3, Slots: 3, Busy: 2, Waiting: 1, UtilizationPercent: 90}}}
	data, err := cbor.Marshal(in)
	assert.NilError(t, err)
	var out Message
	assert.NilError(t, cbor.Unmarshal(data, &out))
	assert.DeepEqual(t, out, in)
}

func joinParts(parts []string) string { return strings.Join(parts, "; ") }

// TestPauseForgetsPeers guards against decisions based on loads from before a
// pause of the process.
func TestPauseForgetsPeers(t *testing.T) {
	m := New(testLimits(), testPeers(), 1)
	m.Step(0, PeerMessage{From: "b", Message: loadedPeerMessage(Report)})
	assert.Assert(t, m.peers.byID["b"].loadKnown)
	m.Step(PauseGap+1, Arrive{ID: 1})
	assert.Assert(t, !m.peers.byID["b"].loadKnown)
}
