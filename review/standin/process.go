package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portPackets  = 8172
	portOutbound = 8162
	portReady    = 8167
	portApp      = 8165
	portInner    = 7720
	portStore    = 8169
)

// Figures of the settings, as in the site file of lutkica-seats.
const (
	heartbeatMS = 1200
	drainTime   = 3 * time.Second
	configTime  = 3 * time.Second
	graceTime   = 6 * time.Second
	idleMS      = 15_000
	slots       = 7
	// restartDelay is the time between the end of a process and its start.
	restartDelay = 300 * time.Millisecond
	probeEvery   = 500 * time.Millisecond
	missesToDrop = 2
)

// machine is a machine with one process of the system.
type machine struct {
	name, class, zone string
	ip                netip.Addr
	storeAddr         string
	server            *server // nil on a frontend machine
	command           *exec.Cmd
	exited            chan struct{}
	darkUntil         time.Time
	starts            int
	ready             bool
	misses            int
	disturbed         bool
}

var runLine = regexp.MustCompile(`^run = "([^"]+)"`)
var onLine = regexp.MustCompile(`^on = "([^"]+)"`)

// commands returns the commands of the deploy file by class of machines.
func commands(deployFile string) (map[string][]string, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	out, run := map[string][]string{}, ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := runLine.FindStringSubmatch(line); m != nil {
			run = m[1]
		}
		if m := onLine.FindStringSubmatch(line); m != nil {
			out[m[1]] = strings.Fields(run)
		}
	}
	if len(out["frontend"]) == 0 || len(out["side"]) == 0 {
		return nil, fmt.Errorf("%s has no command for frontend or side", deployFile)
	}
	return out, nil
}

// addMachine adds a machine. Its process starts with start.
func (w *world) addMachine(class string, zone int, service string) (*machine, error) {
	w.mu.Lock()
	w.lastNumber[zone]++
	n := w.lastNumber[zone]
	w.mu.Unlock()
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, w.zones[zone], n), class: class, zone: w.zones[zone], ip: w.ip(10+zone, n)}
	m.storeAddr = netip.AddrPortFrom(w.ip(40+zone, n), portStore).String()
	if err := w.store.listen(m.storeAddr); err != nil {
		return nil, err
	}
	if class == "side" {
		var err error
		app, outbound := netip.AddrPortFrom(m.ip, portApp), netip.AddrPortFrom(m.ip, portOutbound)
		if m.server, err = w.startServer(fmt.Sprintf("i-%s-%d", w.zones[zone], n), service, app, outbound); err != nil {
			return nil, err
		}
		w.entries[m.server.id] = map[string]any{
			"service": service, "address": app.String(), "zone": m.zone, "version": "v1", "slots": slots, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		w.store.put("servers/"+m.server.id, w.entries[m.server.id])
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m, nil
}

// setState makes a server report a state, and returns when the store has
// acknowledged it.
func (w *world) setState(s *server, state string) time.Time {
	e := w.entries[s.id]
	e["state"], e["sequence"] = state, e["sequence"].(int)+1
	w.store.put("servers/"+s.id, e)
	return time.Now()
}

func (w *world) settings(m *machine, first bool) map[string]any {
	at := func(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }
	zones := map[string]string{}
	for _, z := range w.zones {
		zones[z] = "hr-north"
	}
	listen := map[string]string{"datagram-addr": at(portPackets), "ready-addr": at(portReady)}
	out := map[string]any{
		"node-name": m.name, "role": "my-" + m.class, "machine-class": m.class, "serves": []string{m.class}, "ip": m.ip.String(), "zone": m.zone, "region": "hr-north",
		"zones": zones, "listen": listen, "internal-ports": []int{portInner, portInner + 15}, "seed-nodes": []string{}, "bootstrap": first, "failure-counted": m.class == "frontend",
		"limits":   map[string]any{"cpu-share": 0.24, "cores": 1, "memory-mb": 152, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry-type": "announcement", "heartbeat-ms": heartbeatMS,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4, "drain-ms": drainTime.Milliseconds(), "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": configTime.Milliseconds(), "downgrade-slack-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12, "reorder-ms": 2000, "flow-ttl-s": 60,
		},
		"hash-scheme": "mod", "proxy-mode": "agent",
		"platform": map[string]any{
			"address": m.storeAddr, "proxy-mode": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	}
	if m.server != nil {
		listen["outbound"] = at(portOutbound)
		out["app"], out["service"] = at(portApp), m.server.service
	}
	return out
}

// startProcess starts the process of a machine, and again whenever it ends.
func (w *world) startProcess(m *machine, first bool) error {
	data, err := json.MarshalIndent(w.settings(m, first), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, m.name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	run := w.commands[m.class]
	command := exec.Command(filepath.Join(w.root, run[0]), run[1:]...)
	command.Dir = w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TREFOILWEIR_BOOT=" + file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	w.mu.Lock()
	m.command, m.exited = command, exited
	m.starts++
	w.mu.Unlock()
	w.rec.note("process of %s starts", m.name)
	go w.restartOnExit(m, command, exited)
	return nil
}

func (w *world) restartOnExit(m *machine, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	w.rec.note("process of %s ended: %v", m.name, err)
	time.Sleep(restartDelay)
	w.mu.Lock()
	dark := time.Until(m.darkUntil)
	w.mu.Unlock()
	time.Sleep(dark)
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if err := w.startProcess(m, false); err != nil {
		w.rec.note("cannot start the process of %s: %v", m.name, err)
	}
}

func (w *world) signal(m *machine, s syscall.Signal) {
	w.rec.note("%s gets %s", m.name, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.disturbed = true
	_ = m.command.Process.Signal(s)
}

// kill kills the process of a machine. It starts again after dark.
func (w *world) kill(m *machine, dark time.Duration) {
	w.mu.Lock()
	m.darkUntil = time.Now().Add(dark)
	w.mu.Unlock()
	w.signal(m, syscall.SIGKILL)
}

// probe probes the balancers as the routers do.
func (w *world) probe() {
	httpClient := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !w.isStopped() {
		for _, m := range w.of("frontend") {
			go func() {
				response, err := httpClient.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + "/v1/readyz")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				if ok {
					m.ready, m.misses = true, 0
				} else if m.misses++; m.misses >= missesToDrop {
					m.ready = false
				}
			}()
		}
		time.Sleep(probeEvery)
	}
}

// route returns the address to which the routers of a zone forward a packet.
func (w *world) route(zone string, key flowKey) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.rotation(zone)
	if len(to) == 0 {
		to = w.rotation("")
	}
	if len(to) == 0 {
		return netip.AddrPort{}, false
	}
	h := uint64(14695981039346656037)
	for _, b := range []byte(key.client.String() + key.route.String()) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	h ^= h >> 29
	return netip.AddrPortFrom(to[h%uint64(len(to))].ip, portPackets), true
}

// rotation returns the balancers in rotation of a zone, or of all zones. If fewer
// than half are, it returns all.
func (w *world) rotation(zone string) []*machine {
	var all, ready []*machine
	for _, m := range w.machines {
		if m.class != "frontend" || zone != "" && m.zone != zone {
			continue
		}
		all = append(all, m)
		if m.ready {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(all) && len(ready) > 0 {
		return all
	}
	return ready
}

func (w *world) of(class string) (out []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}
