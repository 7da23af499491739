package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/wire"
	"trefoilweir.example/node/keys"
)

const (
	callersKeysEnv  = "TREFOILWEIR_TEST_CALLERS_KEYS"
	callersAgentEnv = "TREFOILWEIR_TEST_CALLERS_AGENT"
	// parallelDials is how many callers connect at the same time.
	parallelDials = 8
)

// datagramCounts counts the datagrams between a forwarder and agents, by kind.
type datagramCounts struct {
	Sent, Received [wire.Control + 1]int
}

// TestCallerProcess runs the callers and the forwarder of a measurement in a
// separate process, so that their memory and CPU time are not counted for the
// agent. It is skipped unless a measurement starts it.
func TestCallerProcess(t *testing.T) {
	if os.Getenv(callersKeysEnv) == "" {
		t.Skip("runs only as a part of a measurement")
	}
	store, err := keys.Open(os.Getenv(callersKeysEnv))
	assert.NilError(t, err)
	f := newForwarder(t, store)
	f.routeFirstPackets(netip.MustParseAddrPort(os.Getenv(callersAgentEnv)))
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: socket}
	var conns []*quic.Conn
	for {
		var command string
		var n int
		if _, err := fmt.Scan(&command, &n); err != nil {
			return
		}
		switch command {
		case "dial":
			conns = append(conns, dialAll(t, transport, f.callerSocket.LocalAddr(), n)...)
		case "ticker":
			for _, conn := range conns[len(conns)-n:] {
				request, _ := http.NewRequest(http.MethodGet, "https://"+testAuthority+"/ticker", nil)
				response, err := (&http3.Transport{}).NewClientConn(conn).RoundTrip(request)
				assert.NilError(t, err)
				_, err = io.ReadFull(response.Body, make([]byte, 1))
				assert.NilError(t, err)
			}
		}
		f.mu.Lock()
		answer, err := json.Marshal(datagramCounts{f.sent, f.received})
		f.mu.Unlock()
		assert.NilError(t, err)
		fmt.Printf("%s\n", answer)
	}
}

func dialAll(t *testing.T, transport *quic.Transport, to net.Addr, n int) []*quic.Conn {
	conns := make([]*quic.Conn, n)
	var running sync.WaitGroup
	for worker := range parallelDials {
		running.Go(func() {
			for i := worker; i < n; i += parallelDials {
				conn, err := transport.Dial(context.Background(), to, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, &quic.Config{MaxIdleTimeout: 2 * time.Minute})
				assert.Check(t, err)
				conns[i] = conn
			}
		})
	}
	running.Wait()
	return conns
}

// startCallers starts the process of the callers. It returns a function that
// sends a command to the process and waits for its reply.
func startCallers(t *testing.T, c *cluster) func(command string, n int) datagramCounts {
	process := exec.Command(os.Args[0], "-test.run=^TestCallerProcess$")
	process.Env = append(os.Environ(), callersKeysEnv+"="+filepath.Join(c.dir, "keys.json"), callersAgentEnv+"="+c.agents[0].Address().String())
	process.Stderr = os.Stderr
	in, err := process.StdinPipe()
	assert.NilError(t, err)
	out, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_ = process.Wait()
	})
	lines := bufio.NewScanner(out)
	return func(command string, n int) (counts datagramCounts) {
		_, err := fmt.Fprintf(in, "%s %d\n", command, n)
		assert.NilError(t, err)
		assert.Assert(t, lines.Scan(), "the process of the callers ended")
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &counts), "%s", lines.Text())
		return counts
	}
}

// usage is the memory, in bytes, the goroutines and the CPU time of the agent's
// process.
type usage struct {
	heap, stack float64
	goroutines  int
	// cpuBefore and cpuAfter are the CPU times before and after the
	// measurement. CPU time of the garbage collections that it forces is not
	// counted.
	cpuBefore, cpuAfter time.Duration
}

func cpuTime(t *testing.T) time.Duration {
	var r syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func measure(t *testing.T) (u usage) {
	u.cpuBefore = cpuTime(t)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.heap, u.stack, u.goroutines = float64(m.HeapAlloc), float64(m.StackInuse), runtime.NumGoroutine()
	u.cpuAfter = cpuTime(t)
	return u
}

// cpuSince returns the CPU time between two measurements, in microseconds.
func (u usage) cpuSince(before usage) float64 {
	return float64((u.cpuBefore - before.cpuAfter).Microseconds())
}

// TestSlopesOfConnections reports the memory of an agent per open connection
// and ticker, the CPU time of a handshake, and the datagrams that the agent
// exchanges with one balancer. Guards against connections that cost several
// times the figures in docs/CAPACITY.md.
func TestSlopesOfConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("opens 1,000 connections")
	}
	const warmUp, n = 50, 1000
	var mu sync.Mutex
	var open []net.Conn
	c := newCluster(t, func(w http.ResponseWriter, _ *http.Request) {
		// A hijacked connection needs no goroutine in the test's target.
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		assert.Check(t, err)
		mu.Lock()
		defer mu.Unlock()
		open = append(open, conn)
	})
	t.Cleanup(func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	})
	c.source.update(func(targets []config.Target) { targets[0].Connections = 2 * n })
	callers := startCallers(t, c)
	report := func(what string, before, after usage) {
		t.Logf("slope: per %s: heap %.0f B, stack %.0f B, %.2f goroutines", what, (after.heap-before.heap)/n,
			(after.stack-before.stack)/n, float64(after.goroutines-before.goroutines)/n)
	}
	const quiet = 5 * time.Second
	empty := measure(t)
	time.Sleep(quiet)
	t.Logf("slope: CPU of an agent without connections: %.2f ms/s", measure(t).cpuSince(empty)/1000/quiet.Seconds())
	callers("dial", warmUp)
	callers("ticker", warmUp)
	time.Sleep(time.Second)
	baseline, sent := measure(t), callers("count", 0)
	counts := callers("dial", n)
	dialled := measure(t)
	for kind, name := range map[wire.Kind]string{wire.Forward: "Forward to", wire.Return: "Return from", wire.Pong: "Pong from"} {
		count := counts.Sent[kind] - sent.Sent[kind]
		if kind != wire.Forward {
			count = counts.Received[kind] - sent.Received[kind]
		}
		t.Logf("slope: per handshake: %.2f datagrams %s the agent", float64(count)/n, name)
	}
	time.Sleep(quiet)
	idle, after := measure(t), callers("count", 0)
	report("idle connection", baseline, idle)
	t.Logf("slope: CPU per handshake: %.0f us", dialled.cpuSince(baseline)/n)
	t.Logf("slope: with %d quiet connections and 1 balancer: %.1f pings/s, %.1f Return/s, CPU %.2f ms/s", n+warmUp,
		float64(after.Received[wire.Ping]-counts.Received[wire.Ping])/quiet.Seconds(), float64(after.Received[wire.Return]-counts.Received[wire.Return])/quiet.Seconds(),
		idle.cpuSince(dialled)/1000/quiet.Seconds())
	callers("ticker", n)
	time.Sleep(time.Second)
	tickers := measure(t)
	t.Logf("slope: CPU per opened ticker: %.0f us", tickers.cpuSince(idle)/n)
	report("open ticker, in addition to its connection", idle, tickers)
	const maxBytesPerTicker = 256 << 10
	assert.Assert(t, tickers.heap+tickers.stack-baseline.heap-baseline.stack < n*maxBytesPerTicker)
}

// TestSizeOfControlMessages reports the size of each message that moves a
// request, with and without the peer loads that a message can carry. IP and UDP
// headers are included. Guards against messages that do not fit into a
// datagram.
func TestSizeOfControlMessages(t *testing.T) {
	const ipAndUDP = 20 + 8
	load := admission.Load{Slots: 7, Busy: 7, Waiting: 20, Connections: 1750, ServiceTime: 120 * time.Millisecond}
	peerLoads := make([]admission.PeerLoad, 8)
	for i := range peerLoads {
		peerLoads[i] = admission.PeerLoad{Peer: "service-00001-01", AgeMS: 900, Slots: 7, Busy: 7, Waiting: 20, UtilizationPercent: 90}
	}
	for name, m := range map[string]admission.Message{
		"Reserve": {Kind: admission.Reserve, Token: 1 << 40, ScoreLimit: 0.123},
		"Grant":   {Kind: admission.Grant, Token: 1 << 40, Grant: 1 << 40},
		"Deny":    {Kind: admission.Deny, Token: 1 << 40},
		"Offer":   {Kind: admission.Offer, Grant: 1 << 40},
		"Release": {Kind: admission.Release, Grant: 1 << 40},
	} {
		m.Load = load
		bare, err := cbor.Marshal(m)
		assert.NilError(t, err)
		m.PeerLoads = peerLoads
		full, err := cbor.Marshal(m)
		assert.NilError(t, err)
		t.Logf("slope: %s: %d B without views, %d B with 8 views", name, ipAndUDP+wire.HeaderLen+len(bare), ipAndUDP+wire.HeaderLen+len(full))
		assert.Assert(t, wire.HeaderLen+len(full) < packetSize)
	}
}
