package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/wire"
)

func textHandler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// get sends a GET request and returns the status and body.
func get(t *testing.T, client *http.Client, url string) (int, string) {
	t.Helper()
	response, err := client.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

func (a *testAgent) droppedCount(reason string) uint64 {
	return a.metric(fmt.Sprintf(`trefoilweir_agent_datagrams_dropped_total{reason=%q}`, reason))
}

func (a *testAgent) eventCount(name string) uint64 {
	return a.metric(fmt.Sprintf(`trefoilweir_agent_events_total{event=%q}`, name))
}

// Guards against an agent that balancers count as dead, and against a Pong that
// cannot be matched with the datagram that requested it.
func TestPingAndEchoGetAPong(t *testing.T) {
	c := newCluster(t, textHandler("ok"))
	to := c.agents[0].Address()
	caller := netip.MustParseAddrPort("127.0.0.1:9")
	ping := c.forwarder.send(to, wire.Header{Kind: wire.Ping, Service: testService, Flags: wire.FlagEcho}, nil)
	echo := c.forwarder.send(to, wire.Header{
		Kind: wire.Forward, Service: testService, Flags: wire.FlagEcho | wire.FlagFirst, Caller: caller,
	}, []byte{longHeaderBit, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	for _, sequence := range []uint64{ping, echo} {
		eventually(t, "Pong", func() bool {
			c.forwarder.mu.Lock()
			defer c.forwarder.mu.Unlock()
			h, ok := c.forwarder.pongs[sequence]
			return ok && h.Incarnation == 1 && h.Service == testService
		})
	}
}

// Guards against invalid datagrams that have an effect or are not counted.
func TestFaultyDatagramsAreCountedAndDropped(t *testing.T) {
	c := newCluster(t, textHandler("ok"))
	a := c.agents[0]
	caller := netip.MustParseAddrPort("127.0.0.1:9")
	issued := func(id connid.ID) []byte {
		var encoded [connid.Len]byte
		assert.NilError(t, c.keys.ConnIDCodec().Encode(&encoded, id))
		return append([]byte{0x40}, append(encoded[:], make([]byte, 40)...)...)
	}
	own := connid.ID{Agent: a.Address(), Service: testService, Incarnation: 1}
	foreignService, foreignAgent := own, own
	foreignService.Service = testService + 1
	foreignAgent.Agent = netip.MustParseAddrPort("127.0.0.1:1")
	cases := map[string]struct {
		header  wire.Header
		payload []byte
	}{
		"service":               {wire.Header{Kind: wire.Ping, Service: testService + 1}, nil},
		"caller":                {wire.Header{Kind: wire.Forward, Service: testService}, issued(own)},
		"packet":                {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}, []byte{0x40, 1}},
		"first_packet":          {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller, Flags: wire.FlagFirst}, issued(own)},
		"connection_id":         {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}, make([]byte, 60)},
		"connection_id_service": {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}, issued(foreignService)},
		"connection_id_agent":   {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}, issued(foreignAgent)},
		"oversize":              {wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}, append(issued(own), make([]byte, 1500)...)},
		"kind":                  {wire.Header{Kind: wire.Return, Service: testService}, nil},
		"control_unknown_peer":  {wire.Header{Kind: wire.Control, Service: testService}, []byte("x")},
	}
	for reason, datagram := range cases {
		t.Run(reason, func(t *testing.T) {
			c.forwarder.send(a.Address(), datagram.header, datagram.payload)
			eventually(t, reason, func() bool { return a.droppedCount(reason) == 1 })
		})
	}
	raw := map[string][]byte{"short": []byte("x"), "tag": append([]byte{1, 3, 1}, make([]byte, 70)...), "generation": append([]byte{1, 3, 9}, make([]byte, 70)...)}
	for reason, datagram := range raw {
		_, err := c.forwarder.agentSocket.WriteToUDPAddrPort(datagram, a.Address())
		assert.NilError(t, err)
		eventually(t, reason, func() bool { return a.droppedCount(reason) == 1 })
	}
	status, body := get(t, c.client(), c.url("/map"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok")
}

// Guards against new flows at a draining agent (I6), and against an agent that
// still refuses them after the drain was cancelled.
func TestDrainingAgentRedirectsFirstPackets(t *testing.T) {
	c := newCluster(t, textHandler("one"), textHandler("two"))
	setState := func(state config.TargetState) {
		c.source.update(func(targets []config.Target) { targets[0].State = state })
		eventually(t, "drain state", func() bool {
			return c.agents[0].Status().Draining == (state == config.TargetDraining)
		})
	}
	setState(config.TargetDraining)
	_, body := get(t, c.client(), c.url("/map"))
	assert.Equal(t, body, "two")
	assert.Assert(t, c.agents[0].eventCount("flow_redirected") > 0)
	assert.Equal(t, c.agents[0].Status().Connections, int64(0))
	setState(config.TargetActive)
	_, body = get(t, c.client(), c.url("/map"))
	assert.Equal(t, body, "one")
}

// Guards against connections beyond the connection limit. Their callers must
// reach the next agent, and must be refused at once if there is none.
func TestConnectionLimit(t *testing.T) {
	c := newCluster(t, textHandler("one"), textHandler("two"))
	limit := func(i int) {
		c.source.update(func(targets []config.Target) { targets[i].Connections = 1 })
		eventually(t, "limit", func() bool { return c.agents[i].load.connectionLimit.Load() == 1 })
	}
	limit(0)
	limit(1)
	for _, want := range []string{"one", "two"} {
		_, body := get(t, c.client(), c.url("/map"))
		assert.Equal(t, body, want)
	}
	_, err := c.client().Get(c.url("/map"))
	assert.ErrorContains(t, err, "CONNECTION_REFUSED")
	assert.Assert(t, c.agents[1].eventCount("connection_refused") > 0)
}

// Guards against callers that wait for the idle timeout after another process
// has replaced their agent at the same address.
func TestReplacedAgentResetsConnections(t *testing.T) {
	c := newCluster(t, textHandler("one"))
	client := c.client()
	_, body := get(t, client, c.url("/map"))
	assert.Equal(t, body, "one")
	// The old process must stop without a notice to its callers.
	c.forwarder.dropReturnsOf(1)
	c.agents[0].stop()
	c.agents[0] = c.startAgent(0, 2, textHandler("new"))
	started := time.Now()
	_, err := client.Get(c.url("/map"))
	if err != nil {
		assert.ErrorContains(t, err, "stateless reset")
	}
	_, body = get(t, client, c.url("/map"))
	assert.Equal(t, body, "new")
	assert.Assert(t, time.Since(started) < idleTimeout/4)
	assert.Assert(t, c.agents[0].eventCount("packet_of_earlier_incarnation") > 0)
}

// Guards against new flows at an agent whose target is down, and against an
// agent that does not notice that its target is up again.
func TestTargetDownRedirectsNewFlows(t *testing.T) {
	c := newCluster(t, textHandler("one"), textHandler("two"))
	a := c.agents[0]
	address := a.upstream.Listener.Addr().String()
	a.upstream.Close()
	_, _, _ = postUntilGranted(t, c, "/hold", 1, http.StatusServiceUnavailable)
	assert.Assert(t, a.Status().TargetDown)
	connections := a.Status().Connections
	_, body := get(t, c.client(), c.url("/map"))
	assert.Equal(t, body, "two")
	assert.Assert(t, a.Status().Connections <= connections, "the agent accepted a new flow while its target was down")
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	eventually(t, "the target is up again", func() bool { return !a.Status().TargetDown })
}
