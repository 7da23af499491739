package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/relay"
)

// Guards against a wrong reason why a peer gets no new flows.
func TestUnusablePeers(t *testing.T) {
	heard := peer{everHeard: true}
	with := func(flags uint8) peer {
		p := heard
		p.load.Flags = relay.FlagAgent | flags
		return p
	}
	for reason, p := range map[string]peer{
		"":            heard,
		"leaving":     with(relay.FlagLeaving | relay.FlagDraining),
		"draining":    with(relay.FlagDraining),
		"silent":      with(relay.FlagSilent),
		"failing":     with(relay.FlagFailing),
		"suspected":   {everHeard: true, suspectUntil: time.Second},
		"never_heard": {},
	} {
		assert.Equal(t, p.unusableReason(heartbeatTimeout), reason)
	}
	assert.Equal(t, heard.unusableReason(heartbeatTimeout+ms), "not_heard")
}

// Guards against a status without the peers that get no new flows.
func TestPeersForOperators(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeat(2, 3)
	f.advance(heartbeatTimeout)
	f.heartbeats(1)
	f.advance(ms)
	peers := f.Peers(f.now)
	assert.Equal(t, len(peers), 2)
	assert.Assert(t, peers[0].Usable)
	assert.Equal(t, peers[0].SinceHeard, ms)
	assert.Equal(t, peers[1].Reason, "not_heard")
	assert.Equal(t, peers[1].Load.Busy, uint16(3))
}
