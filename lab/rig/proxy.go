package rig

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is what a proxy does to its connections.
type Link string

// The states of a link.
const (
	// LinkOpen passes bytes.
	LinkOpen Link = "open"
	// LinkSlow delays them.
	LinkSlow Link = "slow"
	// LinkSilent holds them back in both directions, LinkNoAnswer only those
	// towards the process.
	LinkSilent   Link = "silent"
	LinkNoAnswer Link = "no_answer"
	// LinkReset ends open connections and refuses new ones.
	LinkReset Link = "reset"
)

// slowLinkDelay is the delay of a slow link.
const slowLinkDelay = 150 * time.Millisecond

// Proxy passes the TCP connections of one process to the store, with faults.
type Proxy struct {
	listener net.Listener
	to       string

	mu          sync.Mutex
	link        Link
	linkChanged chan struct{} // closed when the link changes
	conns       map[net.Conn]bool
}

// StartProxy listens on an address.
func StartProxy(at netip.AddrPort, to string) (*Proxy, error) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, link: LinkOpen, linkChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes the link.
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

// Close ends the proxy.
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
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	go p.pipe(up, c, false)
	p.pipe(c, up, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

func (p *Proxy) currentLink() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// pipe copies bytes; answers says that they go towards the process.
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

// waitForLink waits as long as the link holds bytes back.
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
