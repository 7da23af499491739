package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	reorder      = 2 * time.Second
	strayPackets = 3
	// stableWindow is that of mtsvane-tbilisi-grown.
	stableWindow = 5 * time.Second
	// restartDelay is the time until a killed process is started again.
	restartDelay = 600 * time.Millisecond
	idleClients  = 250
	// The clients use their flows again between wakeFrom and wakeTo after the kill.
	wakeFrom = 7900 * time.Millisecond
	wakeTo   = 10500 * time.Millisecond
	// One agent stands still from freezeAt on for freezeFor (node_freeze, for_s = 3.62).
	freezeAt  = 7700 * time.Millisecond
	freezeFor = 3500 * time.Millisecond
	// streamDeadline is that of the long flows of the site.
	streamDeadline = 3 * time.Second
)

// killAll kills the processes of all machines, and starts them again.
func (d *deployment) killAll() error {
	all := append(append([]*machine{}, d.fronts...), d.sides...)
	for _, m := range all {
		_ = m.command.Process.Signal(syscall.SIGKILL)
	}
	for _, m := range all {
		<-m.exited
	}
	d.rec.event("all processes are killed")
	time.Sleep(restartDelay)
	for _, m := range all {
		if err := d.startProcess(m, false); err != nil {
			return err
		}
	}
	d.rec.event("all processes are started again")
	return nil
}

// strayProbes shows FLOW: all processes were killed; when flows that were idle since
// are used again, one agent stands still. With TROUBLE=0 and KILL_ONLY=1 no agent
// stands still.
func strayProbes(d *deployment, trouble bool) (int, error) {
	d.bounds = grownBounds()
	d.publishSplit()
	if err := d.start([]int{2, 1, 1}, map[string][]int{"portal": {3, 2, 2}, "archive": {1, 1, 1}}); err != nil {
		return cannot, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(3 * time.Second)
	zone, to := d.zones[0], netip.AddrPortFrom(d.addr(8, 1), 443)
	var flows []*idleFlow
	for n := range idleClients {
		c, err := startClient(netip.AddrPortFrom(d.addr(100, 1+n), portPackets), zone, d.router, d.rec)
		if err != nil {
			return cannot, err
		}
		f, ok := c.dial(to)
		if !ok || f.request(fmt.Sprintf("first-%d", n), streamDeadline) != "answered" {
			return cannot, fmt.Errorf("the flow of client %d is not served", n)
		}
		flows = append(flows, f)
	}
	time.Sleep(500 * time.Millisecond)
	kill := time.Now()
	at := func(step time.Duration) { time.Sleep(time.Until(kill.Add(step))) }
	if trouble || os.Getenv("KILL_ONLY") != "" {
		if err := d.killAll(); err != nil {
			return cannot, err
		}
	}
	calm := time.Now().Add(stableWindow)
	var frozen *machine
	for _, m := range d.sides {
		if m.zone != zone && m.server.service == "portal" {
			frozen = m
			break
		}
	}
	var work sync.WaitGroup
	if trouble {
		work.Go(func() {
			at(freezeAt)
			d.freeze(frozen)
			time.Sleep(freezeFor)
			d.wake(frozen)
		})
	}
	sentAt := make([]time.Time, len(flows))
	for n, f := range flows {
		wake := wakeFrom + rand.N(wakeTo-wakeFrom)
		work.Go(func() {
			at(wake)
			id := fmt.Sprintf("second-%d", n)
			sentAt[n] = time.Now()
			d.rec.event("%s sent on the flow of %s, idle until now", id, f.src)
			d.rec.event("%s of %s: %s", id, f.src, f.request(id, streamDeadline))
		})
	}
	work.Wait()
	time.Sleep(reorder)
	bad := 0
	for n, f := range flows {
		if d.rec.strayed(f.src, sentAt[n], calm, frozen.server) {
			bad++
		}
	}
	d.rec.event("%d of %d flows broke the rule", bad, len(flows))
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}

// publishSplit publishes a route that leads to two services, with the weights that
// `fleetbench wire` shows for the site.
func (d *deployment) publishSplit() {
	services := []map[string]any{}
	for _, s := range []string{"portal", "archive"} {
		services = append(services, map[string]any{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0})
	}
	d.store.put("op/config", map[string]any{"version": 3, "services": services, "limits": map[string]int{"idle-timeout-ms": 15000},
		"routes": []map[string]any{{"name": "r-stream", "host": d.addr(8, 1).String(), "prefix": "/443/", "route-type": "safe", "timeout-ms": 3000, "target-latency-ms": 250, "priority": 2,
			"split": []map[string]any{{"service": "portal", "weight": 90}, {"service": "archive", "weight": 10}}, "max-attempts": 2}}})
}

// strayed reports whether a flow broke FLOW (b) after the time calm, with a request that
// was sent at a time: for reorder three or more of its packets reached other servers, and
// none its own, neither in that time nor since the request was sent. Flows of the server
// except don't count.
func (r *record) strayed(from netip.AddrPort, sent, calm time.Time, except *server) bool {
	r.mu.Lock()
	f := r.flows[from]
	r.mu.Unlock()
	if f == nil || f.owner == nil || f.owner == except {
		return false
	}
	for i, t := range f.strays {
		if t.Before(calm) || t.Before(sent) || time.Since(t) < reorder || i+strayPackets > len(f.strays) || f.strays[i+strayPackets-1].Sub(t) > reorder {
			continue
		}
		own := false
		for _, o := range f.own {
			own = own || !o.Before(sent) && o.Sub(t) <= reorder
		}
		if !own {
			r.event("FLOW: from %.3f s on %d packets of the flow of %s, open at %s, reach other servers within %v, and none its own", t.Sub(r.began).Seconds(), strayPackets, from, f.owner.id, reorder)
			return true
		}
	}
	return false
}
