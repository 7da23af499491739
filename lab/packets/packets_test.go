package packets

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// Guards against a stand-in that lets changed packets pass.
func TestSumCoversWhatEndsWrite(t *testing.T) {
	raw := Encode(&Packet{Flags: Ack, Src: addr("100.64.0.7:1025"), Dst: addr("198.18.0.1:443"), Seq: 5, Ack: 6, Data: []byte("abc")})
	p, err := Decode(raw)
	assert.NilError(t, err)
	assert.Assert(t, p.ChecksumValid(raw))
	for i := range raw {
		changed := append([]byte(nil), raw...)
		changed[i] ^= 64
		q, err := Decode(changed)
		free := i >= 1 && i < 4 || i >= 20 && i < 24
		if err == nil {
			assert.Equal(t, q.ChecksumValid(changed), free, "byte %d", i)
		}
	}
}

// Guards against streams that lose, double or reorder data under loss.
func TestStreamUnderLoss(t *testing.T) {
	a, b := newStream(1, 100), newStream(100, 1)
	want := body("x", 50_000)
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
			if b.take(p, now) {
				a.take(b.ackPacket(Packet{}), now)
			}
		}
		if b.peerFin {
			a.peerFin = true
		}
	}
	assert.Assert(t, dropped > 0)
	assert.Equal(t, string(b.input), string(want))
}

// Guards against a judge that misses broken promises.
func TestJournal(t *testing.T) {
	j := NewJournal(time.Second)
	key := flowKey{addr("100.64.0.7:1025"), addr("198.18.0.1:443")}
	j.opened("a", key)
	for range wrongMost {
		j.wrongTarget("b", key)
	}
	j.owners[key].since = time.Now().Add(-wrongWindow)
	j.ran("a", "booking", Request{ID: "r", Service: "gallery"})
	j.ran("a", "booking", Request{ID: "r", Service: "booking"})
	j.CheckResult(&Flow{key: key}, Request{ID: "r"}, Result{Outcome: NotRun}, false)
	j.CheckResult(&Flow{key: key}, Request{ID: "q"}, Result{Outcome: Broken}, true)
	j.accepted("a", "booking", key, true, time.Now().Add(-2*time.Second))
	counts, notes := j.Violations()
	for _, v := range []Violation{RanTwice, RanAfterNotRun, Misrouted, LateFlow} {
		assert.Equal(t, counts[v], 1, "%s: %v", v, notes)
	}
	assert.Equal(t, counts[BrokenFlow], 2, "%v", notes)
	// A reset after the target's end, or by the target, breaks nothing.
	j.targetEnded("a")
	j.CheckReset(key, false)
	counts, _ = j.Violations()
	assert.Equal(t, counts[BrokenFlow], 2)
}
