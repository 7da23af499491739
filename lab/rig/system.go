package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"trefoilweir.example/lab/figure"
	"trefoilweir.example/lab/kvstore"
	"trefoilweir.example/lab/packets"
)

// Service describes a service and its targets.
type Service struct {
	Name string
	// Slots is the number of requests that a target runs at once. Target n of a
	// zone has speed n of Speeds, repeated in turn.
	TargetsPerZone, Slots int
	Speeds                []float64
	// Address is the address of the route to the service.
	Address netip.AddrPort
}

// Options are the options of a System.
type Options struct {
	// Dir is the directory for settings and logs. Program is the path of the
	// program trefoilweir.
	Dir, Program string
	// SecondOctet is the second octet of all addresses. Systems that run at the
	// same time need different ones.
	SecondOctet      int
	Zones            []string
	BalancersPerZone int
	Services         []Service
	Seed             uint64
	// UseSeedNodes lists the first balancer of each zone in the settings, so that
	// processes can request the view from them.
	UseSeedNodes bool
}

// System is a packet plane with its simulated environment.
type System struct {
	Options
	Store   *kvstore.Store
	Journal *packets.Journal
	random  *rand.Rand

	mu           sync.Mutex
	balancers    []*VM
	agents       []*VM
	entries      map[string]*entry
	routes       map[netip.AddrPort]string
	routeVersion uint64
	// published is the last version of the routes, as written to the store.
	published    []byte
	missedProbes map[*VM]int // probes missed in a row; no entry before the first success
	lastVMNumber map[int]int
	failures     []string
	recorder     *recorder
	marks        []figure.Mark
	stopped      bool
	server       *http.Server
	removedVMs   []*VM
	callers      []*packets.Caller
	zoneDrains   zoneDrains
	stop         chan struct{}
}

// entry is the record of a target in the store.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
	WarmupLeftMS int    `json:"warmup-left-ms"`
	Sequence     int    `json:"sequence"`
	StartUnixMS  int64  `json:"born"`
}

// New returns a system that has not been started.
func New(o Options) *System {
	return &System{
		Options: o, Store: kvstore.New(), Journal: packets.NewJournal(drainMS*time.Millisecond + time.Second), random: rand.New(rand.NewPCG(o.Seed, 1)),
		entries: map[string]*entry{}, routes: map[netip.AddrPort]string{}, missedProbes: map[*VM]int{}, lastVMNumber: map[int]int{}, stop: make(chan struct{}),
	}
}

// Start starts the store, the targets and the processes, and waits until the
// balancers are ready.
func (s *System) Start() error {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(s.address(storeOctet, 1), portStore).String())
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }()
	for _, service := range s.Services {
		s.routes[service.Address] = service.Name
	}
	s.PublishRoutes()
	for z := range s.Zones {
		for range s.BalancersPerZone {
			if _, err := s.AddBalancer(z, true); err != nil {
				return err
			}
		}
		for i := range s.Services {
			for n := range s.Services[i].TargetsPerZone {
				if _, err := s.AddTarget(&s.Services[i], z, n, true); err != nil {
					return err
				}
			}
		}
	}
	go s.probeLoop()
	return s.awaitReady(10 * time.Second)
}

func (s *System) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		s.mu.Lock()
		ready := 0
		for _, b := range s.balancers {
			if missed, probed := s.missedProbes[b]; probed && missed == 0 {
				ready++
			}
		}
		all := len(s.balancers)
		s.mu.Unlock()
		if ready == all {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("rig: %d of %d balancers are ready after %s", ready, all, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *System) newVM(kind string, zone int) (*VM, error) {
	s.lastVMNumber[zone]++
	n := s.lastVMNumber[zone]
	m := &VM{Name: fmt.Sprintf("%s-%s-%d", kind, s.Zones[zone], n), Zone: s.Zones[zone], IP: s.address(zoneOctet+zone, n)}
	var err error
	m.proxy, err = StartProxy(netip.AddrPortFrom(s.address(proxyOctet+zone, n), portStore), netip.AddrPortFrom(s.address(storeOctet, 1), portStore).String())
	return m, err
}

// AddBalancer adds a balancer to a zone.
func (s *System) AddBalancer(zone int, bootstrap bool) (*VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.newVM("balancer", zone)
	if err != nil {
		return nil, err
	}
	s.balancers = append(s.balancers, m)
	return m, s.startProcess(m, bootstrap)
}

// Balancers returns the VMs of balancers that have not been removed.
func (s *System) Balancers() []*VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.balancers)
}

// Agents returns the VMs of agents that have not been removed.
func (s *System) Agents() []*VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.agents)
}

// RemoveBalancer removes a balancer and stops its process.
func (s *System) RemoveBalancer(m *VM) {
	s.mu.Lock()
	s.balancers = slices.DeleteFunc(s.balancers, func(b *VM) bool { return b == m })
	s.removedVMs = append(s.removedVMs, m)
	s.mu.Unlock()
	s.StopProcess(m)
}

// SetLink sets the link between the process of a VM and the store.
func (s *System) SetLink(m *VM, l Link) { m.proxy.SetLink(l) }

// Failures returns the failures of the run other than violations.
func (s *System) Failures() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.failures)
}

// Stop kills all processes and stops the targets, callers, proxies and the store.
func (s *System) Stop() {
	s.mu.Lock()
	s.stopped = true
	close(s.stop)
	vms := slices.Concat(s.balancers, s.agents, s.removedVMs)
	callers := s.callers
	s.mu.Unlock()
	for _, m := range vms {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
		m.proxy.Close()
		if m.Target != nil {
			m.Target.Stop()
		}
	}
	for _, c := range callers {
		c.Close()
	}
	s.server.Close()
}
