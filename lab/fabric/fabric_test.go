package fabric_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/fabric"
)

const servicePort = 24433

// startBalancer runs a balancer that answers each datagram with its name.
func startBalancer(t *testing.T, address, name string) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort([]byte(name), from)
		}
	}()
}

func vmJSON(name, ip, state string) string {
	return fmt.Sprintf(`{"name":%q,"role":"balancer","datagram_address":"%s:7000","state":%q}`, name, ip, state)
}

// countAnswers sends n datagrams through the fabric and counts the answers by
// balancer.
func countAnswers(t *testing.T, n int) map[string]int {
	conn, err := net.Dial("udp4", fmt.Sprintf("127.81.0.1:%d", servicePort))
	assert.NilError(t, err)
	defer conn.Close()
	answers := map[string]int{}
	buffer := make([]byte, 2048)
	for range n {
		_, err := conn.Write([]byte("x"))
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if size, err := conn.Read(buffer); err == nil {
			answers[string(buffer[:size])]++
		}
	}
	return answers
}

// Guards against a fabric that sends all datagrams of a caller to one balancer,
// and against one that keeps sending to a balancer that is leaving.
func TestSpraysOverLiveBalancers(t *testing.T) {
	startBalancer(t, fmt.Sprintf("127.81.0.2:%d", servicePort), "balancer-1")
	startBalancer(t, fmt.Sprintf("127.81.0.3:%d", servicePort), "balancer-2")
	var revision atomic.Uint64
	revision.Store(1)
	lists := []string{"", `[` + vmJSON("balancer-1", "127.81.0.2", "live") + `,` + vmJSON("balancer-2", "127.81.0.3", "live") + `]`,
		`[` + vmJSON("balancer-1", "127.81.0.2", "leaving") + `,` + vmJSON("balancer-2", "127.81.0.3", "live") + `]`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, `{"revision":%d,"value":%s}`, revision.Load(), lists[revision.Load()])
	}))
	t.Cleanup(server.Close)
	f, err := fabric.New(fabric.Options{
		PlatformURL: server.URL, Seed: 1, Log: zap.NewNop(),
		Services: map[string]netip.AddrPort{"booking": netip.AddrPortFrom(netip.MustParseAddr("127.81.0.1"), servicePort)},
	})
	assert.NilError(t, err)
	go f.Run(t.Context())
	// The first datagrams may arrive before the fabric has a VM list.
	for len(countAnswers(t, 1)) == 0 {
		assert.Assert(t, t.Context().Err() == nil)
	}
	both := countAnswers(t, 60)
	assert.Assert(t, both["balancer-1"] > 10 && both["balancer-2"] > 10, "%v", both)
	revision.Store(2)
	for range 100 {
		if one := countAnswers(t, 20); one["balancer-1"] == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the fabric still sends datagrams to a balancer that is leaving")
}
