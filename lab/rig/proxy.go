package rig

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is the fault that a proxy injects into its connections.
type Link string

// Links.
const (
	// LinkOpen forwards bytes without a fault.
	LinkOpen Link = "open"
	// LinkSlow delays bytes.
	LinkSlow Link = "slow"
	// LinkSilent holds bytes back in both directions. LinkNoAnswer holds back
	// only those towards the process.
	LinkSilent   Link = "silent"
	LinkNoAnswer Link = "no_answer"
	// LinkReset resets open connections and closes new ones at once.
	LinkReset Link = "reset"
)

// slowLinkDelay is how long a slow link delays each read.
const slowLinkDelay = 150 * time.Millisecond

// Proxy forwards the TCP connections of one process to the store and injects
// faults.
type Proxy struct {
	listener     net.Listener
	upstreamAddr string

	mu          sync.Mutex
	link        Link
	linkChanged chan struct{} // closed and replaced when the link changes
	conns       map[net.Conn]bool
}

// StartProxy starts a proxy that listens on listenAddr and forwards connections
// to upstreamAddr.
func StartProxy(listenAddr netip.AddrPort, upstreamAddr string) (*Proxy, error) {
	l, err := net.Listen("tcp4", listenAddr.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, upstreamAddr: upstreamAddr, link: LinkOpen, linkChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes the fault of all connections.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.linkChanged)
	p.linkChanged = make(chan struct{})
	if l == LinkReset {
		p.resetAll()
	}
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(p.conns)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	if p.currentLink() == LinkReset {
		return
	}
	upstream, err := net.Dial("tcp4", p.upstreamAddr)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.pipe(upstream, c, false)
	p.pipe(c, upstream, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

func (p *Proxy) currentLink() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// pipe copies bytes in one direction, delayed by the link. toProcess is the
// direction from the store to the process.
func (p *Proxy) pipe(to io.WriteCloser, from io.Reader, toProcess bool) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.waitForLink(toProcess)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForLink returns when the link lets bytes in this direction pass.
func (p *Proxy) waitForLink(toProcess bool) {
	for {
		p.mu.Lock()
		link, changed := p.link, p.linkChanged
		p.mu.Unlock()
		switch {
		case link == LinkSilent, link == LinkNoAnswer && toProcess:
			<-changed
		case link == LinkSlow:
			time.Sleep(slowLinkDelay)
			return
		default:
			return
		}
	}
}
