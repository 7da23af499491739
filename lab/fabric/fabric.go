// Package fabric simulates the network in front of the balancers. It forwards
// every datagram of a caller to a random live balancer of the platform's VM
// list, and forwards the answers of all balancers to the caller.
//
// A balancer receives the datagrams of a service at the IP address of its
// datagram address and the port of the service.
package fabric

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/lab/platform"
)

const (
	// maxDatagramLen exceeds the length of any QUIC packet, in bytes.
	maxDatagramLen = 2048
	// socketBufferSize is the size of receive buffers, in bytes. It absorbs
	// bursts on a busy machine.
	socketBufferSize = 4 << 20
	cutPollInterval  = 50 * time.Millisecond
)

// Options are the options of a Fabric.
type Options struct {
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Services maps the name of each service to the address that callers use.
	Services map[string]netip.AddrPort
	// Seed seeds the random choice of balancers.
	Seed uint64
	// Delay is the one-way latency between callers and balancers.
	Delay time.Duration
	// CutFile is a file that holds a JSON array with the names of the balancers
	// to which datagrams are dropped. It may be absent.
	CutFile string
	// Log receives the log messages.
	Log *zap.Logger
}

// Counters holds the number of datagrams forwarded in each direction, of
// dropped datagrams and of callers since the start.
type Counters struct {
	ToBalancers uint64 `json:"to_balancers"`
	ToCallers   uint64 `json:"to_callers"`
	Dropped     uint64 `json:"dropped"`
	Callers     uint64 `json:"callers"`
}

// Fabric forwards datagrams between callers and balancers. Create it with New.
type Fabric struct {
	options   Options
	balancers *balancerList
	listeners []*listener

	toBalancers, toCallers, dropped, callers atomic.Uint64
}

// New opens the sockets of all services and returns a fabric.
func New(options Options) (*Fabric, error) {
	f := &Fabric{options: options, balancers: newBalancers(options.Seed)}
	for name, address := range options.Services {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		_ = conn.SetReadBuffer(socketBufferSize)
		f.listeners = append(f.listeners, &listener{fabric: f, conn: conn, address: address, callers: map[netip.AddrPort]*upstream{}})
		options.Log.Info("fabric is listening", zap.String("service", name), zap.Stringer("address", address))
	}
	return f, nil
}

// Run forwards datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { platform.Watch(ctx, f.options.PlatformURL, "vms", f.setVMs) })
	if f.options.CutFile != "" {
		group.Go(func() { f.watchCuts(ctx) })
	}
	for _, l := range f.listeners {
		group.Go(func() { l.run(ctx) })
	}
	<-ctx.Done()
	for _, l := range f.listeners {
		l.close()
	}
	group.Wait()
}

// Counters returns the current counters.
func (f *Fabric) Counters() Counters {
	return Counters{f.toBalancers.Load(), f.toCallers.Load(), f.dropped.Load(), f.callers.Load()}
}

func (f *Fabric) setVMs(value json.RawMessage) {
	if err := f.balancers.setVMs(value); err != nil {
		f.options.Log.Warn("VM list of the platform is not valid; keeping the previous one", zap.Error(err))
	}
}

func (f *Fabric) watchCuts(ctx context.Context) {
	ticker := time.NewTicker(cutPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.readCuts()
		}
	}
}

func (f *Fabric) readCuts() {
	data, err := os.ReadFile(f.options.CutFile)
	if err != nil {
		return
	}
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		f.options.Log.Warn("cut file is not valid; keeping the previous cuts", zap.Error(err))
		return
	}
	f.balancers.setCut(names)
}
