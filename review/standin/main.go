// Command standin plays a case of the review: it starts the processes of the
// deploy file on loopback addresses, with stand-ins for the platform's store, the
// routers, the servers and the clients, and judges a rule. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is the deployment with its stand-ins.
type world struct {
	root, dir string
	octet     int
	zones     []string
	commands  map[string][]string
	rec       *recorder
	store     *store
	entries   map[string]map[string]any
	version   uint64
	onSyn     func(*server, flowKey)

	mu         sync.Mutex
	machines   []*machine
	clients    []*client
	lastNumber map[int]int
	stopped    bool
	owners     map[flowKey]*server
	opened     map[flowKey]time.Time // when the client sent its first packet
	sent, ran  map[string]int
	results    map[outcome]int
	resets     int
}

func (w *world) ip(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(w.octet), byte(third), byte(fourth)})
}

// routeAddress returns the address of route n.
func (w *world) routeAddress(n int) netip.AddrPort { return netip.AddrPortFrom(w.ip(200, 1+n), 8443) }

func (w *world) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// chooseOctet chooses the second octet of all addresses so that the ports are
// free. It keeps a port open, so that another case that runs at the same time
// chooses another octet.
func (w *world) chooseOctet() error {
	for range 50 {
		w.octet = 16 + rand.IntN(220)
		if _, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(9, 1), portStore).String()); err != nil {
			continue
		}
		free := true
		for _, port := range []int{portStore, portApp, portReady, portInner, 9464} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(10, 1), uint16(port)).String())
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"route-type"`
	Timeout  int    `json:"timeout-ms"`
	Aim      int    `json:"target-latency-ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max-attempts"`
}

func (w *world) newRoute(address netip.AddrPort, service string, timeout int) route {
	return route{"r-" + fmt.Sprintf("%x", address.Addr().As4()), address.Addr().String(), fmt.Sprintf("/%d/", address.Port()), "safe", timeout, 250, 2, service, 2}
}

// publish writes a version of the configuration, and returns when the store has
// acknowledged it.
func (w *world) publish(routes []route) time.Time {
	w.version += 1 + uint64(rand.IntN(3))
	services := []map[string]any{}
	for _, name := range []string{"booking", "gallery"} {
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleMS},
	})
	at := time.Now()
	w.rec.note("the store has acknowledged version %d with %d routes", w.version, len(routes))
	return at
}

func (w *world) requestSent(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id]++
}

func (w *world) requestRan(id string, s *server, _ flowKey) {
	w.mu.Lock()
	unasked := w.sent[id] == 0
	w.ran[id]++
	w.mu.Unlock()
	if unasked {
		w.rec.broken("UNASKED", "server %s ran request %s that no client sent", s.id, id)
	}
}

func (w *world) flowOpened(key flowKey, s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[key] = s
}

func (w *world) flowClosed(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.owners, key)
}

func (w *world) serverEnded(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, owner := range w.owners {
		if owner == s {
			delete(w.owners, key)
		}
	}
}

// flowReset judges a reset that a client has accepted.
func (w *world) flowReset(key flowKey, bySystem bool) {
	w.mu.Lock()
	owner := w.owners[key]
	delete(w.owners, key)
	if bySystem && owner != nil {
		w.resets++
	}
	w.mu.Unlock()
	if bySystem && owner != nil {
		w.rec.broken("FLOW", "the client of open flow %s got a reset of the system, and server %s of %s holds the flow", key.client, owner.id, owner.service)
		return
	}
	w.rec.note("flow %s was reset; by the system: %v", key.client, bySystem)
}

func (w *world) count(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[o]++
}

// start starts all processes and waits until the balancers are ready.
func (w *world) start() error {
	for _, m := range w.machines {
		if err := w.startProcess(m, true); err != nil {
			return err
		}
	}
	go w.probe()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		w.mu.Lock()
		for _, m := range w.machines {
			if m.ready {
				ready++
			}
		}
		w.mu.Unlock()
		if ready == len(w.of("frontend")) {
			w.rec.note("all balancers are ready")
			return nil
		}
	}
	return fmt.Errorf("the balancers are not ready after 15 s")
}

func (w *world) stop() {
	w.mu.Lock()
	w.stopped = true
	machines := append([]*machine(nil), w.machines...)
	w.mu.Unlock()
	for _, m := range machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
		if m.server != nil {
			_ = m.server.conn.Close()
			_ = m.server.health.Close()
		}
	}
	w.store.close()
}

// addClients starts hosts with clients in a zone.
func (w *world) addClients(zone, n int) ([]*client, error) {
	var out []*client
	for i := range n {
		c, err := w.startClient(w.zones[zone], netip.AddrPortFrom(w.ip(100+zone, 1+i), portPackets))
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	w.clients = append(w.clients, out...)
	return out, nil
}

// cases maps the names of the cases to their play. A play returns an error if the
// case could not run.
var cases = map[string]func(w *world, trouble bool) error{
	"unnamed-service": playUnnamedService,
	"missing-fields":  playMissingFields,
	"large-watch":     playLargeWatch,
	"missed-version":  playMissedVersion,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RULE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Args[4]))
}

func run(name, rule, root, recordFile string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	rec, err := newRecorder(recordFile)
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	w := &world{
		root: root, dir: dir, zones: []string{"hr-north-a", "hr-north-b"}, rec: rec, store: newStore(), entries: map[string]map[string]any{}, lastNumber: map[int]int{},
		owners: map[flowKey]*server{}, opened: map[flowKey]time.Time{}, sent: map[string]int{}, ran: map[string]int{}, results: map[outcome]int{},
	}
	if w.commands, err = commands(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return fail(err)
	}
	if err = w.chooseOctet(); err != nil {
		return fail(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, rule %s, with the disruption: %v", name, rule, trouble)
	err = cases[name](w, trouble)
	w.stop()
	w.mu.Lock()
	served, all := w.results[answered], 0
	for o, n := range w.results {
		rec.note("requests that ended as %q: %d", o, n)
		all += n
	}
	w.mu.Unlock()
	if err != nil {
		rec.note("the case could not run: %v", err)
		return fail(err)
	}
	broken := rec.brokenRules()
	fmt.Printf("%s: %d requests, %d answered, broken: %v\n", name, all, served, broken)
	switch {
	case broken[rule] > 0:
		rec.note("the rule %s was broken %d times", rule, broken[rule])
		return 1
	case served*2 < all || all == 0:
		rec.note("fewer than half of the requests were answered: the case could not run")
		return 2
	}
	rec.note("the rule %s held", rule)
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return 2
}
