package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// bound is config-apply-ms and drain-ms of the settings.
	bound = 3 * time.Second
	// slowdown and slowFor are within the largest dose of node_slow (x = 5.81, 6.53 s,
	// share 0.188: 3 of 16 machines).
	slowdown = 5.8
	slowFor  = 6500 * time.Millisecond
	// stormGap is the time between two versions (config_storm, gap_s = 0.33).
	stormGap = 330 * time.Millisecond
	// standStill is for how long the readers stand still (node_freeze, for_s = 4.0).
	standStill = 4 * time.Second
)

type configRoute struct {
	Name, Host, Prefix, Type, Service string
}

func (d *deployment) publish(version int, routes []configRoute) time.Time {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.Name, "host": r.Host, "prefix": r.Prefix, "route-type": r.Type, "timeout-ms": 1200, "target-latency-ms": 120,
			"priority": 2, "service": r.Service, "max-attempts": 2})
	}
	services := []map[string]any{}
	for _, s := range []string{"portal"} {
		services = append(services, map[string]any{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0})
	}
	return d.store.put("op/config", map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]int{"idle-timeout-ms": 15000}})
}

// staleConfig shows CONFIG: a route is dropped while the two readers stand still and
// three other machines are slow, and fronts in touch serve the route on.
func staleConfig(d *deployment, trouble bool) (int, error) { return staleView(d, trouble, false) }

// staleDrain shows DRAIN in the same way: a server reports that it drains.
func staleDrain(d *deployment, trouble bool) (int, error) { return staleView(d, trouble, true) }

func staleView(d *deployment, trouble, drain bool) (int, error) {
	kept := configRoute{"r-kept", d.addr(8, 1).String(), "/443/", "safe", "portal"}
	dropped := configRoute{"r-dropped", d.addr(8, 2).String(), "/443/", "safe", "portal"}
	d.publish(3, []configRoute{kept, dropped})
	if err := d.start([]int{2, 2, 2}, map[string][]int{"portal": {4, 3, 3}}); err != nil {
		return cannot, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return cannot, err
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(8 * time.Second)
	keptAddr, droppedAddr := netip.AddrPortFrom(d.addr(8, 1), 443), netip.AddrPortFrom(d.addr(8, 2), 443)
	var sent sync.WaitGroup
	stop := make(chan struct{})
	type probe struct {
		id, front string
		src       netip.AddrPort
		dropped   bool
		at        time.Time
	}
	var mu sync.Mutex
	var probes []probe
	for z, zone := range d.zones {
		c, err := startClient(netip.AddrPortFrom(d.addr(100+z, 1), portPackets), zone, d.router, d.rec)
		if err != nil {
			return cannot, err
		}
		for k, to := range []netip.AddrPort{keptAddr, droppedAddr} {
			sent.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					sent.Go(func() {
						id := fmt.Sprintf("%s-%s-%d", map[int]string{0: "kept", 1: "dropped"}[k], zone, n)
						outcome, front, src, at := c.attempt(id, to, 1200*time.Millisecond)
						d.rec.eventAt(at, "%s sent to %s through %s: %s", id, to, front, outcome)
						mu.Lock()
						probes = append(probes, probe{id, front, src, k == 1, at})
						mu.Unlock()
					})
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	readers, others, err := d.readersAndOthers(3)
	if err != nil {
		return cannot, err
	}
	var slowed sync.WaitGroup
	if trouble {
		for _, m := range others {
			slowed.Go(func() { d.slow(m, slowdown, slowFor) })
			time.Sleep(40 * time.Millisecond)
		}
	}
	time.Sleep(stormGap)
	d.rec.eventAt(d.publish(4, []configRoute{kept, dropped}), "version 4 is acknowledged")
	time.Sleep(stormGap - 50*time.Millisecond)
	frozen := time.Now()
	if trouble {
		for _, m := range readers {
			d.freeze(m)
		}
	}
	time.Sleep(50 * time.Millisecond)
	var acked time.Time
	var leaver *machine
	if drain {
		for _, m := range d.sides {
			if !slices.Contains(readers, m) && !slices.Contains(others, m) {
				leaver = m
				break
			}
		}
		leaver.server.drain()
		acked = d.register(leaver)
		d.rec.eventAt(acked, "server %s is acknowledged as draining", leaver.server.id)
	} else {
		acked = d.publish(5, []configRoute{kept})
		d.rec.eventAt(acked, "version 5 without r-dropped is acknowledged")
	}
	if trouble {
		for time.Since(frozen) < standStill-250*time.Millisecond {
			time.Sleep(200 * time.Millisecond)
			line := fmt.Sprintf("%.2f s after the acknowledgement:", time.Since(acked).Seconds())
			for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
				if m.disturbed {
					continue
				}
				s, err := d.status(m)
				if err != nil {
					continue
				}
				line += fmt.Sprintf(" %s: version %d, view %d ms old;", m.name, s.Version, s.ViewAgeMS)
			}
			d.rec.event("%s", line)
		}
		time.Sleep(time.Until(frozen.Add(standStill)))
		for _, m := range readers {
			d.wake(m)
		}
	} else {
		time.Sleep(standStill)
	}
	slowed.Wait()
	time.Sleep(time.Second)
	close(stop)
	sent.Wait()
	bad := 0
	for _, p := range probes {
		if drain {
			for _, r := range d.rec.openedAt(p.src) {
				if d.machineOf(r.server) == leaver && r.at.Sub(acked) > bound {
					bad++
					d.rec.event("DRAIN: %s, sent through %s, reaches %s %.3f s after the acknowledgement that it drains", p.id, p.front, r.server.id, r.at.Sub(acked).Seconds())
				}
			}
			continue
		}
		for _, r := range d.rec.ran(p.id) {
			if p.dropped && p.at.Sub(acked) > bound && !d.machineOf(r.server).disturbed {
				bad++
				d.rec.event("CONFIG: %s, sent %.3f s after the acknowledgement of version 5 through %s, is run by %s by a dropped route", p.id, p.at.Sub(acked).Seconds(), p.front, r.server.id)
			}
		}
	}
	d.rec.event("%d requests broke the rule", bad)
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}

func (d *deployment) machineOf(s *server) *machine {
	for _, m := range d.sides {
		if m.server == s {
			return m
		}
	}
	return nil
}

// readersAndOthers returns the machines whose processes read the store, and others in
// different zones.
func (d *deployment) readersAndOthers(n int) (readers, others []*machine, err error) {
	zones := map[string]bool{}
	for _, m := range d.sides {
		s, err := d.status(m)
		if err != nil {
			return nil, nil, err
		}
		if s.Reader {
			readers = append(readers, m)
		} else if len(others) < n && !zones[m.zone] {
			others = append(others, m)
			zones[m.zone] = true
		}
	}
	if len(readers) != 2 || len(others) != n {
		return nil, nil, fmt.Errorf("%d processes read the store, %d others", len(readers), len(others))
	}
	return readers, others, nil
}
