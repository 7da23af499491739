package packetplane

import (
	"context"
	"net"
	"net/netip"
	"time"

	"trefoilweir.example/core/dispatch"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

const (
	// balancerQuietTime is the time without a packet after which a stopping
	// balancer ends. balancerMinStopTime is the minimum time until it ends: the
	// routers notice the stop after two missed probes.
	balancerQuietTime   = 700 * time.Millisecond
	balancerMinStopTime = 1500 * time.Millisecond
)

// balancer is the role of a process that receives the packets of callers.
type balancer struct {
	*Process
	machine    *dispatch.Machine
	packets    *net.UDPConn
	lastPacket time.Duration
}

// RunBalancer runs a balancer until it is stopped.
func RunBalancer(ctx context.Context, o Options) error {
	p, err := newProcess(o, "balancer")
	if err != nil {
		return err
	}
	b := &balancer{Process: p, machine: dispatch.New(o.Settings.IP, o.Settings.DataCentre, o.Codec, p.view)}
	if b.packets, err = listen(o.Settings.PacketAddr); err != nil {
		return err
	}
	p.role, p.callerConn = b, b.packets
	return p.run(ctx, []part{{"packets", p.receiveLoop(b.packets, b.fromCaller)}})
}

func (b *balancer) fromCaller(now time.Duration, _ netip.AddrPort, raw []byte) {
	b.lastPacket = now
	b.machine.FromCaller(now, raw, &b.out)
}

func (b *balancer) fromPeer(now time.Duration, from netip.Addr, m *relay.Message) {
	b.machine.FromPeer(now, from, m, &b.out)
}

func (b *balancer) tick(now time.Duration) { b.machine.Tick(now, &b.out) }

func (b *balancer) hasTimeouts() bool { return b.machine.HasTimeouts() }

func (b *balancer) load() relay.Load { return relay.Load{} }

func (b *balancer) onViewChange(now time.Duration) { b.machine.ViewChanged(now, &b.out) }

func (b *balancer) tableSizes() map[string]int { return map[string]int{"flows": b.machine.Flows()} }

func (b *balancer) peers(now time.Duration) []plane.Peer { return b.machine.Peers(now) }

func (b *balancer) readyToStop(now, stopStart time.Duration) bool {
	return now-stopStart > balancerMinStopTime && now-b.lastPacket > balancerQuietTime
}
