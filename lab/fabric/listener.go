package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"go.uber.org/zap"
)

// listener receives the datagrams of callers of one service.
type listener struct {
	fabric  *Fabric
	conn    *net.UDPConn
	address netip.AddrPort

	mu      sync.Mutex
	callers map[netip.AddrPort]*upstream
}

// upstream exchanges the datagrams of one caller with the balancers.
type upstream struct {
	conn                 *net.UDPConn
	toBalancer, toCaller *delayLine
}

func (l *listener) run(ctx context.Context) {
	buffer := make([]byte, maxDatagramLen)
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		up, err := l.upstream(ctx, caller)
		if err != nil {
			l.fabric.options.Log.Warn("cannot open a socket for a caller", zap.Error(err))
			l.fabric.dropped.Add(1)
			continue
		}
		l.forwardToBalancer(up, buffer[:n])
	}
}

func (l *listener) forwardToBalancer(up *upstream, payload []byte) {
	addr, ok := l.fabric.balancers.choose()
	if !ok || !up.toBalancer.send(up.conn, payload, netip.AddrPortFrom(addr, l.address.Port())) {
		l.fabric.dropped.Add(1)
		return
	}
	l.fabric.toBalancers.Add(1)
}

// upstream returns the upstream of a caller and creates it if necessary. The
// caller keeps it until the fabric stops, because balancers and agents identify
// the caller by the address of its socket.
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
	_ = conn.SetReadBuffer(socketBufferSize)
	delay := l.fabric.options.Delay
	up := &upstream{conn: conn, toBalancer: newDelayLine(ctx, delay), toCaller: newDelayLine(ctx, delay)}
	l.callers[caller] = up
	l.fabric.callers.Add(1)
	go l.forwardToCaller(caller, up)
	return up, nil
}

// forwardToCaller forwards answers to the caller until the socket is closed.
func (l *listener) forwardToCaller(caller netip.AddrPort, up *upstream) {
	buffer := make([]byte, maxDatagramLen)
	for {
		n, _, err := up.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if up.toCaller.send(l.conn, buffer[:n], caller) {
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
