package rig

import (
	"encoding/json"
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

// Service is a service of the system.
type Service struct {
	Name string
	// TargetsPerZone, Slots and Speeds describe its targets.
	TargetsPerZone, Slots int
	Speeds                []float64
	// Address is that of its route.
	Address netip.AddrPort
}

// Options of a System.
type Options struct {
	// Dir receives settings and logs. Bin is the program of the system.
	Dir, Bin string
	// Net is the second octet of all addresses, so that systems do not meet.
	Net              int
	Zones            []string
	BalancersPerZone int
	Services         []Service
	Seed             uint64
	// Seeds says that settings name the first balancers as processes to ask
	// for the view.
	Seeds bool
}

// System is a running system.
type System struct {
	Options
	Store   *kvstore.Store
	Journal *packets.Journal
	random  *rand.Rand

	mu        sync.Mutex
	balancers []*Machine
	agents    []*Machine
	entries   map[string]*entry
	routes    map[netip.AddrPort]string
	version   uint64
	rotation  map[*Machine]int // missed probes
	numbers   map[int]int
	failures  []string
	recorder  *recorder
	marks     []figure.Mark
	closed    bool
	server    *http.Server
	leaving   []*Machine
	callers   []*packets.Caller
	stop      chan struct{}
}

// entry is what a target says of itself in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup-left-ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// New returns a system that is not started.
func New(o Options) *System {
	return &System{
		Options: o, Store: kvstore.New(), Journal: packets.NewJournal(drainMS*time.Millisecond + time.Second), random: rand.New(rand.NewPCG(o.Seed, 1)),
		entries: map[string]*entry{}, routes: map[netip.AddrPort]string{}, rotation: map[*Machine]int{}, numbers: map[int]int{}, stop: make(chan struct{}),
	}
}

// Start starts the store, the targets and the processes, and waits until the
// balancers are ready.
func (s *System) Start() error {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(s.address(storeNet, 1), portStore).String())
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }()
	for _, service := range s.Services {
		s.routes[service.Address] = service.Name
	}
	s.Publish()
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
			if missed, probed := s.rotation[b]; probed && missed == 0 {
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

func (s *System) newMachine(kind string, zone int) (*Machine, error) {
	s.numbers[zone]++
	n := s.numbers[zone]
	m := &Machine{Name: fmt.Sprintf("%s-%s-%d", kind, s.Zones[zone], n), Zone: s.Zones[zone], IP: s.address(zoneNet+zone, n)}
	var err error
	m.proxy, err = StartProxy(netip.AddrPortFrom(s.address(proxyNet+zone, n), portStore), netip.AddrPortFrom(s.address(storeNet, 1), portStore).String())
	return m, err
}

// AddBalancer adds a balancer to a zone.
func (s *System) AddBalancer(zone int, first bool) (*Machine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.newMachine("balancer", zone)
	if err != nil {
		return nil, err
	}
	s.balancers = append(s.balancers, m)
	return m, s.start(m, first)
}

// AddTarget adds a target with its agent.
func (s *System) AddTarget(service *Service, zone, n int, first bool) (*Machine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.newMachine("agent", zone)
	if err != nil {
		return nil, err
	}
	if m.Target, err = s.startTarget(m, service, n); err != nil {
		return nil, err
	}
	s.agents = append(s.agents, m)
	s.register(m)
	return m, s.start(m, first)
}

func (s *System) startTarget(m *Machine, service *Service, n int) (*packets.Target, error) {
	const queuePerSlot = 4
	return packets.StartTarget(packets.TargetOptions{
		Name: fmt.Sprintf("%s@%s", service.Name, m.Name), Service: service.Name, Address: netip.AddrPortFrom(m.IP, portTarget),
		Outbound: netip.AddrPortFrom(m.IP, portOutbound), Slots: service.Slots, Queue: queuePerSlot * service.Slots,
		Speed: service.Speeds[n%len(service.Speeds)], Log: s.Journal,
	})
}

// register writes the entry of a new incarnation of a machine's target.
func (s *System) register(m *Machine) {
	born := time.Now().UnixMilli()
	e := &entry{Service: m.Target.Service, Address: netip.AddrPortFrom(m.IP, portTarget).String(), Zone: m.Zone, Version: "v1", Slots: m.Target.Slots, State: "ready", Born: born}
	id := fmt.Sprintf("i-%s-%d", m.Name, born)
	s.entries[id] = e
	s.put(id, e)
}

func (s *System) put(id string, e *entry) {
	data, err := json.Marshal(e)
	if err != nil {
		s.failures = append(s.failures, err.Error())
		return
	}
	s.Store.Put("servers/"+id, data)
}

func (s *System) entryOf(m *Machine) (string, *entry) {
	address := netip.AddrPortFrom(m.IP, portTarget).String()
	for id, e := range s.entries {
		if e.Address == address {
			return id, e
		}
	}
	return "", nil
}

// DrainTarget reports a drain, ends the target when its flows are gone, at the
// latest after a while, and then removes its machine.
func (s *System) DrainTarget(m *Machine, most time.Duration) {
	s.mu.Lock()
	id, e := s.entryOf(m)
	if e != nil {
		e.State = "draining"
		s.put(id, e)
	}
	m.Target.Drain()
	s.mu.Unlock()
	go func() {
		time.Sleep(drainMS * time.Millisecond)
		for end := time.Now().Add(most); m.Target.Flows() > 0 && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		s.mu.Lock()
		delete(s.entries, id)
		s.agents = slices.DeleteFunc(s.agents, func(a *Machine) bool { return a == m })
		s.leaving = append(s.leaving, m)
		s.mu.Unlock()
		s.Store.Remove("servers/" + id)
		m.Target.Stop()
		s.Remove(m)
	}()
}

// CrashTarget ends a target without notice; a new incarnation starts after a
// while, and the old entry lapses after three heartbeats.
func (s *System) CrashTarget(m *Machine, service *Service, down time.Duration) {
	s.mu.Lock()
	id, _ := s.entryOf(m)
	delete(s.entries, id)
	s.mu.Unlock()
	m.Target.Stop()
	time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { s.Store.Remove("servers/" + id) })
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed || m.removed {
			return
		}
		t, err := s.startTarget(m, service, s.random.IntN(len(service.Speeds)))
		if err != nil {
			s.failures = append(s.failures, err.Error())
			return
		}
		m.Target = t
		s.register(m)
	})
}

// Balancers and Agents return the machines that are there.
func (s *System) Balancers() []*Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.balancers)
}

// Agents returns the machines with a target.
func (s *System) Agents() []*Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.agents)
}

// RemoveBalancer stops a balancer as planned.
func (s *System) RemoveBalancer(m *Machine) {
	s.mu.Lock()
	s.balancers = slices.DeleteFunc(s.balancers, func(b *Machine) bool { return b == m })
	s.leaving = append(s.leaving, m)
	s.mu.Unlock()
	s.Remove(m)
}

// Cut sets the link of a machine's process to the store.
func (s *System) Cut(m *Machine, l Link) { m.proxy.Set(l) }

// Failures returns what went wrong besides broken promises.
func (s *System) Failures() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.failures)
}

// Stop ends all that the system started.
func (s *System) Stop() {
	s.mu.Lock()
	s.closed = true
	close(s.stop)
	machines := slices.Concat(s.balancers, s.agents, s.leaving)
	callers := s.callers
	s.mu.Unlock()
	for _, m := range machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.ended
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
