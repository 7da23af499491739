package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portPackets  = 8172
	portOutbound = 8162
	portReady    = 8167
	portApp      = 8165
	portPeer     = 7720
	portMetrics  = 9464
	portStore    = 8169
)

// machine is a machine that runs one process of the system.
type machine struct {
	name, zone, role string
	ip               netip.Addr
	server           *server
	command          *exec.Cmd
	exited           chan struct{}
	// disturbed says that the test stopped or slowed the machine.
	disturbed bool
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string
	octet    int
	zones    []string
	store    *store
	rec      *record
	router   *router
	fronts   []*machine
	sides    []*machine
	clients  []*client
	sequence int
	web      *http.Server
	run      map[string][]string
	bounds   map[string]any
	stopped  bool
	mu       sync.Mutex
}

// smallBounds are those of rbr-ronde and lutkica-seats, grownBounds those of
// mtsvane-tbilisi-grown.
func smallBounds() map[string]any {
	return map[string]any{"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4, "drain-ms": 3000,
		"grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000, "downgrade-slack-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12,
		"reorder-ms": 2000, "flow-ttl-s": 60}
}

func grownBounds() map[string]any {
	b := smallBounds()
	for name, value := range map[string]any{"stable-window-ms": 5000, "ack-timeout-ms": 8000, "catch-up-s": 6, "drain-ms": 5000, "config-apply-ms": 5000,
		"max-stretch-ms": 15000, "warmup-overrun": 1.5, "warmup-slack": 5, "evacuate-ms": 5000, "recovery-s": 15} {
		b[name] = value
	}
	return b
}

// deployCommand returns the command of a role in the deploy file.
func deployCommand(file, role string) ([]string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	section := ""
	for _, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && section == "roles."+role {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s: no command of role %s", file, role)
}

// freeOctet returns a second octet of 127.0.0.0/8 whose first addresses are free.
func freeOctet() int {
	for octet := 40 + os.Getpid()%150; ; octet++ {
		free := true
		for _, port := range []int{portPackets, portReady, portPeer, portMetrics, portApp, portStore} {
			for _, third := range []int{9, 10} {
				l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:%d", octet%250, third, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return octet % 250
		}
	}
}

func (d *deployment) addr(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(d.octet), byte(third), byte(fourth)})
}

func (d *deployment) start(frontsPerZone []int, serversPerZone map[string][]int) error {
	var err error
	d.run = map[string][]string{}
	for _, role := range []string{"balancer", "agent"} {
		if d.run[role], err = deployCommand("deploy/system.toml", role); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(d.addr(9, 1), portStore).String())
	if err != nil {
		return err
	}
	d.web = &http.Server{Handler: d.store}
	go func() { _ = d.web.Serve(l) }()
	d.router = &router{misses: map[string]int{}}
	for z, zone := range d.zones {
		n := 0
		for range frontsPerZone[z] {
			n++
			m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, role: "balancer", ip: d.addr(10+z, n)}
			d.fronts = append(d.fronts, m)
			if err := d.startProcess(m, true); err != nil {
				return err
			}
		}
		for _, service := range slices.Sorted(maps.Keys(serversPerZone)) {
			for range serversPerZone[service][z] {
				n++
				m := &machine{name: fmt.Sprintf("side-%s-%d", zone, n), zone: zone, role: "agent", ip: d.addr(10+z, n)}
				m.server = &server{id: fmt.Sprintf("i-%s-%d", zone, n), service: service, zone: zone, address: netip.AddrPortFrom(m.ip, portApp),
					outbound: netip.AddrPortFrom(m.ip, portOutbound), work: 20 * time.Millisecond, rec: d.rec}
				if err := m.server.start(); err != nil {
					return err
				}
				d.sides = append(d.sides, m)
				if err := d.startProcess(m, true); err != nil {
					return err
				}
				d.register(m)
			}
		}
	}
	d.router.fronts = d.fronts
	go d.router.probe(d)
	return nil
}

// register writes the entry of a server.
func (d *deployment) register(m *machine) time.Time {
	d.sequence++
	s := m.server
	return d.store.put("servers/"+s.id, map[string]any{"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "slots": 3,
		"state": s.state, "warmup-left-ms": 0, "sequence": d.sequence, "born": s.born})
}

func (d *deployment) startProcess(m *machine, bootstrap bool) error {
	at := func(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }
	listen := map[string]string{"datagram-addr": at(portPackets), "ready-addr": at(portReady)}
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "region"
	}
	settings := map[string]any{
		"node-name": m.name, "role": m.role, "machine-class": "frontend", "ip": m.ip.String(), "zone": m.zone, "region": "region", "zones": zones,
		"listen": listen, "internal-ports": []int{portPeer, portPeer + 15}, "seed-nodes": []string{}, "bootstrap": bootstrap, "failure-counted": false,
		"data-dir": nil, "discovery": "platform", "entry-type": "announcement", "heartbeat-ms": 1200,
		"bounds":      d.bounds,
		"hash-scheme": "mod", "proxy-mode": "agent",
		"platform": map[string]any{"address": netip.AddrPortFrom(d.addr(9, 1), portStore).String(), "proxy-mode": "read", "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576},
	}
	if m.server != nil {
		settings["machine-class"] = "side"
		listen["outbound"] = at(portOutbound)
		settings["app"], settings["service"] = at(portApp), m.server.service
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, m.name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	run := d.run[m.role]
	m.command = exec.Command(run[0], run[1:]...)
	m.command.Env = append(os.Environ(), "TREFOILWEIR_BOOT="+file)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		close(exited)
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.stopped {
			d.rec.event("process of %s ended: %v", m.name, err)
		}
	}(m.command, m.exited)
	return nil
}

// freeze makes a machine stand still: its process and its server.
func (d *deployment) freeze(m *machine) {
	m.disturbed = true
	d.rec.event("%s stands still", m.name)
	m.server.gate.Lock()
	_ = m.command.Process.Signal(syscall.SIGSTOP)
}

func (d *deployment) wake(m *machine) {
	d.rec.event("%s runs again", m.name)
	_ = m.command.Process.Signal(syscall.SIGCONT)
	m.server.gate.Unlock()
}

// slow makes a machine run x times slower for a time: in each tenth of a second it
// runs at full speed for a part, and then not at all.
func (d *deployment) slow(m *machine, x float64, length time.Duration) {
	m.disturbed = true
	d.rec.event("%s runs %.1f times slower for %v", m.name, x, length)
	const tenth = 100 * time.Millisecond
	on := time.Duration(float64(tenth) / x)
	for end := time.Now().Add(length); time.Now().Before(end); {
		m.server.gate.Lock()
		_ = m.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(tenth - on)
		_ = m.command.Process.Signal(syscall.SIGCONT)
		m.server.gate.Unlock()
		time.Sleep(on)
	}
	d.rec.event("%s runs at full speed", m.name)
}

// status is what a process tells its operators.
type status struct {
	Reader    bool   `json:"reader"`
	Version   uint64 `json:"version"`
	ViewAgeMS int64  `json:"view_age_ms"`
}

func (d *deployment) status(m *machine) (s status, err error) {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + netip.AddrPortFrom(m.ip, portMetrics).String() + "/status")
	if err != nil {
		return s, err
	}
	defer r.Body.Close()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.router.ready() == len(d.fronts) {
			return nil
		}
	}
	return errors.New("not all fronts are ready")
}

func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		if m.command != nil && m.command.Process != nil && m.exited != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
}

// router stands for the routers of PROTOCOL.md, section "Ingress".
type router struct {
	mu     sync.Mutex
	fronts []*machine
	misses map[string]int
	probed map[string]bool
}

func (r *router) probe(d *deployment) {
	c := http.Client{Timeout: 400 * time.Millisecond}
	for {
		for _, m := range d.fronts {
			go func() {
				response, err := c.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + "/v1/readyz")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.probed == nil {
					r.probed = map[string]bool{}
				}
				if ok {
					r.misses[m.name], r.probed[m.name] = 0, true
				} else {
					r.misses[m.name]++
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) inRotation(m *machine) bool { return r.probed[m.name] && r.misses[m.name] < 2 }

func (r *router) ready() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.fronts {
		if r.inRotation(m) {
			n++
		}
	}
	return n
}

// pick returns the front that gets the packets of a flow.
func (r *router) pick(zone string, src, dst netip.AddrPort) (netip.AddrPort, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zoneFronts, all []*machine
	inZone := 0
	for _, m := range r.fronts {
		if m.zone == zone {
			inZone++
		}
		if !r.inRotation(m) {
			continue
		}
		all = append(all, m)
		if m.zone == zone {
			zoneFronts = append(zoneFronts, m)
		}
	}
	if 2*len(zoneFronts) < inZone {
		zoneFronts = nil
		for _, m := range r.fronts {
			if m.zone == zone {
				zoneFronts = append(zoneFronts, m)
			}
		}
	}
	if len(zoneFronts) == 0 {
		zoneFronts = all
	}
	if len(zoneFronts) == 0 {
		return netip.AddrPort{}, ""
	}
	hash := uint64(src.Port())*2654435761 + uint64(dst.Port()) + uint64(src.Addr().As4()[3])*97 + uint64(dst.Addr().As4()[3])*89
	m := zoneFronts[(hash>>3)%uint64(len(zoneFronts))]
	return netip.AddrPortFrom(m.ip, portPackets), m.name
}
