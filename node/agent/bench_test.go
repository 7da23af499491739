package agent

import (
	"io"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/wire"
)

// BenchmarkRequest measures requests of parallel callers through the test
// forwarder, the agent and a target that answers at once.
func BenchmarkRequest(b *testing.B) {
	c := newCluster(b, textHandler("ok"))
	c.source.update(func(targets []config.Target) { targets[0].Slots = 100 })
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		client := c.client()
		for p.Next() {
			response, err := client.Get(c.url("/map"))
			if err != nil || response.StatusCode != 200 {
				b.Errorf("request failed: %v", err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}

// BenchmarkReceive measures how the agent handles one datagram of an open flow.
func BenchmarkReceive(b *testing.B) {
	c := newCluster(b, textHandler("ok"))
	a := c.agents[0]
	var id [connid.Len]byte
	assert.NilError(b, c.keys.ConnIDCodec().Encode(&id, connid.ID{Agent: a.Address(), Service: testService, Incarnation: 1}))
	buffer := make([]byte, wire.HeaderLen+packetSize)
	buffer[wire.HeaderLen] = 0x40
	copy(buffer[wire.HeaderLen+1:], id[:])
	caller := netip.MustParseAddrPort("127.0.0.1:9")
	c.keys.WireCodec().Seal(buffer, &wire.Header{Kind: wire.Forward, Service: testService, Caller: caller})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := a.packetConn.receive(buffer, caller); !ok {
			b.Fatal("the datagram was dropped")
		}
	}
}
