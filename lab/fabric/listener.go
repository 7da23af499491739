package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"go.uber.org/zap"
)

// listener is the socket of one service, towards the callers.
type listener struct {
	fabric  *Fabric
	conn    *net.UDPConn
	address netip.AddrPort

	mu      sync.Mutex
	callers map[netip.AddrPort]*upstream
}

// upstream is the socket of one caller, towards the balancers.
type upstream struct {
	conn      *net.UDPConn
	out, back *delayLine
}

func (l *listener) run(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		up, err := l.upstream(ctx, caller)
		if err != nil {
			l.fabric.options.Log.Warn("no socket for a caller", zap.Error(err))
			l.fabric.dropped.Add(1)
			continue
		}
		l.forward(up, buffer[:n])
	}
}

func (l *listener) forward(up *upstream, payload []byte) {
	addr, ok := l.fabric.balancers.choose()
	if !ok || !up.out.send(up.conn, payload, netip.AddrPortFrom(addr, l.address.Port())) {
		l.fabric.dropped.Add(1)
		return
	}
	l.fabric.toBalancers.Add(1)
}

// upstream returns the socket of a caller. A caller keeps it until the fabric
// ends, because balancers and agents know the caller by this address.
func (l *listener) upstream(ctx context.Context, caller netip.AddrPort) (*upstream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if up := l.callers[caller]; up != nil {
		return up, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: l.address.Addr().AsSlice()})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	delay := l.fabric.options.Delay
	up := &upstream{conn: conn, out: newDelayLine(ctx, delay), back: newDelayLine(ctx, delay)}
	l.callers[caller] = up
	l.fabric.callers.Add(1)
	go l.back(caller, up)
	return up, nil
}

// back carries answers to the caller until the socket is closed.
func (l *listener) back(caller netip.AddrPort, up *upstream) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := up.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if up.back.send(l.conn, buffer[:n], caller) {
			l.fabric.toCallers.Add(1)
		} else {
			l.fabric.dropped.Add(1)
		}
	}
}

func (l *listener) close() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, up := range l.callers {
		up.conn.Close()
	}
}
