package relay

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

var messages = []Message{
	{Kind: Open, Hops: 2, Service: 7, Origin: netip.MustParseAddr("10.0.0.1"), Home: netip.MustParseAddr("10.0.0.2"), Body: []byte("packet")},
	{Kind: Place, Hops: 1, Service: 7, RefusedBy: netip.MustParseAddr("10.0.0.3"), Offered: true, Body: []byte("packet")},
	{Kind: Packet, Service: 1 << 60, RefusedBy: netip.MustParseAddr("10.0.0.3"), Body: []byte{0}},
	{Kind: Owner, Service: 7, Flow: flow.Key{CallerPort: 5, ServicePort: 6}, Load: Load{Flags: FlagAgent, Busy: 1, Expected: 2, Slots: 3, ServiceTime: 4}, Origin: netip.MustParseAddr("10.0.0.1")},
	{Kind: Survey, Service: 7, Home: netip.MustParseAddr("10.0.0.2"), Progress: fleet.Progress{Epoch: 1 << 60, Revision: 1 << 40, Version: 1 << 20}, Roster: 1 << 50, Body: []byte("packet")},
	{Kind: SurveyResult, Service: 7, Flow: flow.Key{CallerPort: 5}, MaybeOwners: []netip.Addr{netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")},
		Unanswered: []netip.Addr{netip.MustParseAddr("10.0.0.4")}},
	{Kind: SurveyResult, Service: 7, Flow: flow.Key{CallerPort: 6}, Probes: 9},
	{Kind: SurveyResult, Service: 7, Unanswered: []netip.Addr{netip.MustParseAddr("10.0.0.4")}},
	{Kind: Redirect, Hops: 1, Service: 7, Origin: netip.MustParseAddr("10.0.0.1"), Home: netip.MustParseAddr("10.0.0.2"), DeniedServices: []uint64{1 << 60, 9}, Body: []byte("packet")},
	{Kind: Redirect, Service: 7, DeniedServices: []uint64{1, 2, 3, 4, 5, 6, 7, MaxDeniedServices}, Body: []byte{0}},
	{Kind: HeldQuery, Service: 7, Round: 1 << 31},
	{Kind: HeldList, Service: 7, Round: 5, Load: Load{Flags: FlagFresh}, HeldComplete: true, Unlisted: []netip.Addr{netip.MustParseAddr("10.0.0.4")}, Held: []uint32{1, 1 << 30}},
	{Kind: HeldList, Service: 7, Round: 5, HeldComplete: true},
	{Kind: HeldList, Service: 7, Round: 5},
	{Kind: Heartbeat, Service: 7, Load: Load{Flags: FlagReplyRequested}, Progress: fleet.Progress{Epoch: 2, Revision: 9, Version: 300}, Age: 5 * time.Millisecond},
}

// Guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	for _, m := range messages {
		got, err := Decode(m.Append(nil))
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, m), "%+v, want %+v", got, m)
	}
}

// Guards against an age that wraps around and makes an old view look fresh.
func TestLongAge(t *testing.T) {
	m := Message{Kind: Heartbeat, Age: time.Hour}
	got, err := Decode(m.Append(nil))
	assert.NilError(t, err)
	assert.Equal(t, got.Age, maxAge)
}

// Guards against a list that reaches into the caller's packet, so that a target
// gets a part of it, and against one that is longer than its bound.
func TestMalformedRedirect(t *testing.T) {
	m := Message{Kind: Redirect, DeniedServices: []uint64{1, 2}, Body: []byte("p")}
	encoded := m.Append(nil)
	for n := range len(encoded) {
		_, err := Decode(encoded[:n])
		assert.ErrorIs(t, err, ErrMalformed)
	}
	m = Message{Kind: Redirect, Body: make([]byte, (MaxDeniedServices+1)*tagSize+1)}
	encoded = m.Append(nil)
	encoded[packetSize] = MaxDeniedServices + 1
	_, err := Decode(encoded)
	assert.ErrorIs(t, err, ErrMalformed)
}

// Guards against a decoder that panics, and against one that accepts datagrams
// of other protocols.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		f.Add(m.Append(nil))
	}
	f.Add([]byte{Version})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		if again := m.Append(nil); len(again) != len(b) {
			t.Fatalf("decoded %x, which encodes to %x", b, again)
		}
	})
}
