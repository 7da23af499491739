package packetplane

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/telemetry"
)

// faultyRole panics on a datagram of one kind, after it has added a datagram to
// the output.
type faultyRole struct {
	role
	p        *Process
	received chan relay.Kind
}

func (r *faultyRole) load() relay.Load { return relay.Load{} }

func (r *faultyRole) fromPeer(_ time.Duration, from netip.Addr, m *relay.Message) {
	if m.Kind == relay.Refused {
		r.p.out.Send(from, relay.Message{Kind: relay.Owner})
		panic("unexpected state")
	}
	r.received <- m.Kind
}

// Guards against a datagram that stops the process by a panic of a decision: the
// lock stays held, or the supervisor pauses the socket after a few restarts.
func TestPanicOfOneDatagram(t *testing.T) {
	loopback := netip.MustParseAddr("127.0.0.1")
	p, err := newProcess(Options{Settings: &plane.Settings{IP: loopback}, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()}, "agent")
	assert.NilError(t, err)
	r := &faultyRole{p: p, received: make(chan relay.Kind, 1)}
	p.role = r
	ctx, cancel := context.WithCancel(t.Context())
	supervisor := suture.New("test", suture.Spec{FailureBackoff: partBackoff})
	supervisor.Add(part{"relay", p.receiveLoop(p.peerConn, p.handlePeerDatagram)})
	ended := supervisor.ServeBackground(ctx)
	t.Cleanup(func() { cancel(); <-ended })

	peer, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.peerConn.LocalAddr().(*net.UDPAddr).AddrPort()))
	assert.NilError(t, err)
	defer peer.Close()
	send := func(kind relay.Kind) {
		m := relay.Message{Kind: kind}
		_, err := peer.Write(m.Append(nil))
		assert.NilError(t, err)
	}
	for range 20 {
		send(relay.Refused)
	}
	send(relay.Owner)
	select {
	case kind := <-r.received:
		assert.Equal(t, kind, relay.Owner)
	case <-time.After(5 * time.Second):
		t.Fatal("process handles no datagram after a panic")
	}
	assert.Equal(t, p.Metrics.GetOrCreateCounter(`trefoilweir_panics_total{part="datagram"}`).Get(), uint64(20))
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.out.Sends), 0)
}
