package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portStore    = 8169
	portDatagram = 8172
	portReady    = 8167
	portOutbound = 8162
	portApp      = 8165
	portInternal = 7720
	portMetrics  = 9464
)

// Bounds and settings of the small deployments.
const (
	heartbeat   = 770 * time.Millisecond
	graceS      = 6
	drainMS     = 3000
	idleMS      = 15_000
	restartTime = 600 * time.Millisecond
	readyEvery  = 500 * time.Millisecond
)

var zones = []string{"dhg", "rtm", "ams"}

// machine runs one process of the system, beside a server or not.
type machine struct {
	name, zone string
	ip         netip.Addr
	server     *server
	entryID    string
	born       int64
	sequence   int
	mu         sync.Mutex
	command    *exec.Cmd
	exited     chan struct{}
	starts     int
	missed     int
	probed     bool
	// planned says that the last signal was SIGTERM.
	planned bool
}

// fleet is a small deployment: the store, the routers, the servers and the processes
// of the system.
type fleet struct {
	octet, root, dir string
	rec              *record
	store            *store
	fronts, sides    []*machine
	addresses        map[string]netip.AddrPort
	configVersion    int
	// splits has the services, with their weights, of routes that lead to several.
	splits   map[string]map[string]int
	mu       sync.Mutex
	stopping bool
	// silentServers says that the servers do not write to the store.
	silentServers bool
	expired       map[string]time.Time
}

func (f *fleet) address(third, fourth int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("127.%s.%d.%d", f.octet, third, fourth))
}

// newFleet prepares a deployment on a free loopback network.
func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, addresses: map[string]netip.AddrPort{}, expired: map[string]time.Time{}}
	for octet := 64 + os.Getpid()%100; octet < 250; octet++ {
		f.octet = fmt.Sprint(octet)
		f.store, err = startStore(netip.AddrPortFrom(f.address(200, 1), portStore).String())
		if err == nil {
			return f, nil
		}
	}
	return nil, err
}

// service describes a service: servers per zone, slots, and time of a request.
type service struct {
	name    string
	perZone []int
	slots   int
	work    time.Duration
}

// start starts everything and waits until the balancers are ready.
func (f *fleet) start(services []service, frontsPerZone []int) error {
	for i, s := range services {
		f.addresses[s.name] = netip.AddrPortFrom(f.address(250, 1+i), 443)
	}
	f.writeConfig()
	for z, zone := range zones {
		for n := range frontsPerZone[z] {
			f.fronts = append(f.fronts, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: f.address(10+z, 10+n)})
		}
		number := 0
		for _, s := range services {
			for range s.perZone[z] {
				number++
				m := &machine{name: fmt.Sprintf("side-%s-%d", zone, number), zone: zone, ip: f.address(20+z, 10+number)}
				if err := f.startServer(m, s); err != nil {
					return err
				}
				f.sides = append(f.sides, m)
			}
		}
	}
	for _, m := range append(append([]*machine{}, f.fronts...), f.sides...) {
		if err := f.startProcess(m, true); err != nil {
			return err
		}
	}
	go f.heartbeats()
	go f.probes()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if f.readyFronts() == len(f.fronts) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("not all balancers are ready after 10 s")
		}
	}
}

func (f *fleet) startServer(m *machine, s service) error {
	var err error
	m.server, err = startServer("server-"+m.name, s.name, netip.AddrPortFrom(m.ip, portApp), netip.AddrPortFrom(m.ip, portOutbound), s.slots, s.work, f.rec)
	m.born, m.entryID, m.sequence = time.Now().UnixMilli(), fmt.Sprintf("i-%s-%d", m.name, time.Now().UnixMilli()), 0
	return err
}

// writeConfig writes the next version of the configuration.
func (f *fleet) writeConfig() {
	f.configVersion += 3
	routes, services := []map[string]any{}, []map[string]any{}
	for name, address := range f.addresses {
		route := map[string]any{"name": "r-" + name, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "route-type": "safe",
			"timeout-ms": 1200, "target-latency-ms": 120, "priority": 2, "max-attempts": 2}
		if split := f.splits[name]; split == nil {
			route["service"] = name
		} else {
			shares := []map[string]any{}
			for service, weight := range split {
				shares = append(shares, map[string]any{"service": service, "weight": weight})
			}
			route["split"] = shares
		}
		routes = append(routes, route)
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{"version": f.configVersion, "routes": routes, "services": services, "limits": map[string]int{"idle-timeout-ms": idleMS}})
	f.store.put("op/config", value)
}

// settings writes the settings file of a machine's process.
func (f *fleet) settings(m *machine, bootstrap bool) (string, error) {
	at := func(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }
	listen := map[string]any{"datagram-addr": at(portDatagram), "ready-addr": at(portReady)}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "nl-west"
	}
	s := map[string]any{
		"node-name": m.name, "machine-class": "frontend", "serves": []string{"frontend"}, "ip": m.ip.String(), "zone": m.zone, "region": "nl-west", "zones": regions, "listen": listen,
		"internal-ports": []int{portInternal, portInternal + 15}, "seed-nodes": []string{}, "bootstrap": bootstrap, "failure-counted": false,
		"limits": map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}, "data-dir": nil, "discovery": "platform", "entry-type": "announcement",
		"heartbeat-ms": heartbeat.Milliseconds(), "hash-scheme": "mod", "proxy-mode": "agent",
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": touchWindow.Milliseconds(), "ack-timeout-ms": 5000, "catch-up-s": 4, "drain-ms": drainMS, "grace-s": graceS,
			"loss-slack-ms": 200, "config-apply-ms": 3000, "downgrade-slack-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12, "reorder-ms": reorderWindow.Milliseconds(), "flow-ttl-s": 60},
		"platform": map[string]any{"address": netip.AddrPortFrom(f.address(200, 1), portStore).String(), "proxy-mode": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if m.server != nil {
		s["machine-class"], s["serves"] = "side", []string{"side"}
		listen["outbound"] = at(portOutbound)
		s["service"], s["app"] = m.server.service, at(portApp)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.dir, m.name+".json")
	return file, os.WriteFile(file, data, 0o644)
}

// startProcess starts the process of a machine with the command of the deploy file.
func (f *fleet) startProcess(m *machine, bootstrap bool) error {
	file, err := f.settings(m, bootstrap)
	if err != nil {
		return err
	}
	role := "balancer"
	if m.server != nil {
		role = "agent"
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.root, "target", "trefoilweir"), "packet", role, "--metrics-port", fmt.Sprint(portMetrics))
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TREFOILWEIR_BOOT=" + file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command, m.exited = command, make(chan struct{})
	m.starts++
	if m.starts > 1 {
		f.event(m.planned, "process of %s starts again", m.name)
	}
	go f.await(m, command, m.exited)
	return nil
}

// await restarts a process that has exited, after a short delay, as the platform
// does.
func (f *fleet) await(m *machine, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	f.mu.Lock()
	stopping := f.stopping
	f.mu.Unlock()
	m.mu.Lock()
	planned := m.planned
	m.mu.Unlock()
	if stopping {
		return
	}
	f.event(planned, "process of %s has exited: %v", m.name, err)
	time.Sleep(restartTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return
	}
	if err := f.startProcess(m, false); err != nil {
		f.rec.note("cannot start the process of %s: %v", m.name, err)
	}
}

// event records a step of planned work, or of an unplanned disruption.
func (f *fleet) event(planned bool, format string, arguments ...any) {
	if planned {
		f.rec.note(format, arguments...)
		return
	}
	f.rec.trouble(false, format, arguments...)
}

// signal sends a signal to the process of a machine. SIGTERM is planned work.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planned = s == syscall.SIGTERM
	f.event(m.planned, "%s to the process of %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// heartbeats makes each server write its entry at every heartbeat. An entry that
// nobody writes for three heartbeats lapses.
func (f *fleet) heartbeats() {
	for range time.Tick(heartbeat) {
		f.mu.Lock()
		silent, stopping := f.silentServers, f.stopping
		f.mu.Unlock()
		if stopping {
			return
		}
		if !silent {
			f.writeEntries()
		}
	}
}

func (f *fleet) writeEntries() {
	for _, m := range f.sides {
		f.writeEntry(m)
	}
}

// writeEntry writes the entry of a server if it changes: more than its sequence.
func (f *fleet) writeEntry(m *machine) {
	m.sequence++
	key := "servers/" + m.entryID
	if f.store.has(key) {
		return
	}
	value, _ := json.Marshal(map[string]any{"service": m.server.service, "address": m.server.app.String(), "zone": m.zone, "version": "v1", "slots": m.server.slots,
		"state": "ready", "warmup-left-ms": 0, "sequence": m.sequence, "born": m.born})
	f.store.put(key, value)
}

// lapse removes all entries, as after three heartbeats in which no server reached the
// store.
func (f *fleet) lapse() {
	for _, m := range f.sides {
		f.store.expire("servers/" + m.entryID)
	}
}

func (f *fleet) setSilentServers(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentServers = silent
}

// probes is the routers' check of the balancers, twice per second.
func (f *fleet) probes() {
	probe := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext}}
	for range time.Tick(readyEvery) {
		f.mu.Lock()
		stopping := f.stopping
		f.mu.Unlock()
		if stopping {
			return
		}
		for _, m := range f.fronts {
			go func() {
				response, err := probe.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + "/v1/readyz")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.missed++; ok {
					m.missed, m.probed = 0, true
				}
			}()
		}
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probed && m.missed < 2
}

func (f *fleet) readyFronts() (n int) {
	for _, m := range f.fronts {
		if m.inRotation() {
			n++
		}
	}
	return n
}

// route returns the balancer that gets a packet: by a hash over those in rotation in
// the client's zone.
func (f *fleet) route(zone string, id flowID) netip.AddrPort {
	var all, ready, elsewhere []*machine
	for _, m := range f.fronts {
		switch {
		case m.zone == zone && m.inRotation():
			all, ready = append(all, m), append(ready, m)
		case m.zone == zone:
			all = append(all, m)
		case m.inRotation():
			elsewhere = append(elsewhere, m)
		}
	}
	from := ready
	if 2*len(ready) < len(all) {
		from = all
	}
	if len(ready) == 0 && len(elsewhere) > 0 {
		from = elsewhere
	}
	if len(from) == 0 {
		return netip.AddrPort{}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id.client.String() + id.route.String()))
	return netip.AddrPortFrom(from[h.Sum64()%uint64(len(from))].ip, portDatagram)
}

// stop ends all processes. With keep set, their logs stay in the temporary folder.
func (f *fleet) stop(keep bool) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	for _, m := range append(append([]*machine{}, f.fronts...), f.sides...) {
		m.mu.Lock()
		command, exited := m.command, m.exited
		m.mu.Unlock()
		if command != nil && command.Process != nil {
			_ = command.Process.Signal(syscall.SIGCONT)
			_ = command.Process.Kill()
			<-exited
		}
		if m.server != nil {
			m.server.stop()
		}
	}
	_ = f.store.server.Close()
	if keep {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// machineOf returns the machine beside which a flow's server runs.
func (f *fleet) machineOf(s *server) *machine {
	for _, m := range f.sides {
		if m.server == s {
			return m
		}
	}
	return nil
}

// logHas reports whether the log of a machine's process has a line with all words.
func (f *fleet) logHas(m *machine, words ...string) bool {
	data, _ := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
	for _, line := range strings.Split(string(data), "\n") {
		found := true
		for _, word := range words {
			found = found && strings.Contains(line, word)
		}
		if found {
			return true
		}
	}
	return false
}
