package packets

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// Guards against a checksum that accepts packets altered on the way.
func TestChecksumCoverage(t *testing.T) {
	raw := Encode(&Packet{Flags: Ack, Src: addr("100.64.0.7:1025"), Dst: addr("198.18.0.1:443"), Seq: 5, Ack: 6, Data: []byte("abc")})
	p, err := Decode(raw)
	assert.NilError(t, err)
	assert.Assert(t, p.ChecksumValid(raw))
	for i := range raw {
		changed := append([]byte(nil), raw...)
		changed[i] ^= 64
		q, err := Decode(changed)
		uncovered := i >= 1 && i < 4 || i >= 20 && i < 24
		if err == nil {
			assert.Equal(t, q.ChecksumValid(changed), uncovered, "byte %d", i)
		}
	}
}

// Guards against streams that lose, duplicate or reorder data when packets are
// dropped.
func TestStreamUnderLoss(t *testing.T) {
	a, b := newStream(1, 100), newStream(100, 1)
	want := answerBody("x", 50_000)
	a.queue, a.fin = append(a.queue, want...), true
	now := time.Now()
	dropped := 0
	for n := 0; !a.closed() && n < 10_000; n++ {
		now = now.Add(20 * time.Millisecond)
		for i, p := range append(a.output(Packet{}, now), a.retransmit(now)...) {
			if (n+i)%3 == 0 {
				dropped++
				continue
			}
			if b.receive(p, now) {
				a.receive(b.ackPacket(Packet{}), now)
			}
		}
		if b.peerFin {
			a.peerFin = true
		}
	}
	assert.Assert(t, dropped > 0)
	assert.Equal(t, string(b.input), string(want))
}

// Guards against a journal that misses violations.
func TestJournal(t *testing.T) {
	j := NewJournal(time.Second)
	key := flowKey{addr("100.64.0.7:1025"), addr("198.18.0.1:443")}
	j.flowOpened("a", key)
	for range misdeliveryLimit {
		j.packetMisdelivered("b", key)
	}
	j.owners[key].since = time.Now().Add(-misdeliveryWindow)
	j.requestStarted("a", "booking", Request{ID: "r", Service: "gallery"})
	j.requestStarted("a", "booking", Request{ID: "r", Service: "booking"})
	j.CheckResult(&Flow{key: key}, Request{ID: "r"}, Result{Outcome: NotRun}, false)
	j.CheckResult(&Flow{key: key}, Request{ID: "q"}, Result{Outcome: Broken}, true)
	j.flowAccepted("a", "booking", key, true, time.Now().Add(-2*time.Second))
	counts, notes := j.Violations()
	for _, v := range []Violation{RanTwice, RanAfterNotRun, Misrouted, LateFlow} {
		assert.Equal(t, counts[v], 1, "%s: %v", v, notes)
	}
	assert.Equal(t, counts[BrokenFlow], 2, "%v", notes)
	// A reset of a flow whose target has stopped is no violation.
	j.targetStopped("a")
	j.CheckReset(key, false)
	counts, _ = j.Violations()
	assert.Equal(t, counts[BrokenFlow], 2)
}
