package fabric

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// delayQueueLen is the maximum number of delayed datagrams in one direction of
// one caller.
const delayQueueLen = 4096

// datagram is a delayed datagram, which is sent at the time due.
type datagram struct {
	due     time.Time
	payload []byte
	from    *net.UDPConn
	to      netip.AddrPort
}

// delayLine sends datagrams after a fixed delay, in order.
type delayLine struct {
	delay time.Duration
	queue chan datagram
}

func newDelayLine(ctx context.Context, delay time.Duration) *delayLine {
	d := &delayLine{delay: delay, queue: make(chan datagram, delayQueueLen)}
	if delay > 0 {
		go d.run(ctx)
	}
	return d
}

// send reports whether the datagram was sent or queued.
func (d *delayLine) send(from *net.UDPConn, payload []byte, to netip.AddrPort) bool {
	if d.delay == 0 {
		_, err := from.WriteToUDPAddrPort(payload, to)
		return err == nil
	}
	copied := append([]byte(nil), payload...)
	select {
	case d.queue <- datagram{time.Now().Add(d.delay), copied, from, to}:
		return true
	default:
		return false
	}
}

func (d *delayLine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-d.queue:
			time.Sleep(time.Until(next.due))
			_, _ = next.from.WriteToUDPAddrPort(next.payload, next.to)
		}
	}
}
