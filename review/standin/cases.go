package main

import (
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// deploySmall adds the machines of a small deployment: two zones, three
// balancers, five servers of booking and three of gallery.
func (w *world) deploySmall() error {
	for _, m := range []struct {
		class   string
		zone    int
		service string
	}{
		{"frontend", 0, ""}, {"frontend", 0, ""}, {"frontend", 1, ""},
		{"side", 0, "booking"}, {"side", 0, "booking"}, {"side", 0, "booking"}, {"side", 1, "booking"}, {"side", 1, "booking"},
		{"side", 0, "gallery"}, {"side", 1, "gallery"}, {"side", 1, "gallery"},
	} {
		if _, err := w.addMachine(m.class, m.zone, m.service); err != nil {
			return err
		}
	}
	return nil
}

// keepFlow opens a flow and sends requests on it until the end, as a client with
// pauses between its requests. It opens another flow after a failure.
func (w *world) keepFlow(c *client, n int, pause time.Duration, end time.Time) {
	for attempt := 0; time.Now().Before(end); attempt++ {
		f := c.newFlow(w.routeAddress(0))
		if f.connect() != answered {
			w.count(notOpened)
			time.Sleep(pause)
			continue
		}
		for i := 0; time.Now().Before(end); i++ {
			result := f.request(fmt.Sprintf("q-%s-%d-%d-%d", c.address.Addr(), n, attempt, i), 2500*time.Millisecond)
			w.count(result)
			if result != answered || f.closedByServer || !f.idle(pause) {
				break
			}
		}
		f.close()
	}
}

// freshFlows opens a flow for each request until the end.
func (w *world) freshFlows(c *client, route netip.AddrPort, pause time.Duration, end time.Time, done *sync.WaitGroup) {
	for i := 0; time.Now().Before(end); i++ {
		done.Go(func() {
			f := c.newFlow(route)
			if f.connect() != answered {
				w.count(notOpened)
				return
			}
			w.count(f.request(fmt.Sprintf("q-%s-%d", c.address.Addr(), i), 2500*time.Millisecond))
			f.close()
		})
		time.Sleep(pause)
	}
}

// playUnnamedService: another writer stores an entry of a service that the
// configuration does not name, at the address of a running server. Then a
// balancer is stopped and started as planned, so that open flows come through
// other balancers.
func playUnnamedService(w *world, trouble bool) error {
	if err := w.deploySmall(); err != nil {
		return err
	}
	w.publish([]route{w.newRoute(w.routeAddress(0), "booking", 2500), w.newRoute(w.routeAddress(1), "gallery", 5000)})
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	clients, err := w.addClients(0, 12)
	if err != nil {
		return err
	}
	var done sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	for i, c := range clients {
		for n := range 8 {
			time.Sleep(5 * time.Millisecond)
			done.Go(func() { w.keepFlow(c, n, 300*time.Millisecond+time.Duration(i)*7*time.Millisecond, end) })
		}
	}
	time.Sleep(4 * time.Second)
	s := w.mostFlows("booking", w.zones[0])
	if s.server.openFlows() == 0 {
		return fmt.Errorf("no server has an open flow")
	}
	if trouble {
		e := maps.Clone(w.entries[s.server.id])
		e["service"] = "stalls"
		w.store.put("servers/x-41", e)
		w.rec.note("another writer has stored servers/x-41: a copy of the entry of server %s, which has %d open flows, with the service stalls", s.server.id, s.server.openFlows())
	}
	time.Sleep(3 * time.Second)
	w.signal(w.of("frontend")[0], syscall.SIGTERM)
	done.Wait()
	return nil
}

// mostFlows returns the machine whose server of a service has the most open flows
// in a zone.
func (w *world) mostFlows(service, zone string) (best *machine) {
	for _, m := range w.of("side") {
		if m.server.service == service && m.zone == zone && (best == nil || m.server.openFlows() > best.server.openFlows()) {
			best = m
		}
	}
	return best
}

// notWatching returns a machine beside a server of a service in a zone whose agent
// does not watch the store, or nil.
func (w *world) notWatching(service, zone string) *machine {
	watching := w.store.watchers()
	for _, m := range w.of("side") {
		if m.server.service == service && m.zone == zone && !watching[m.storeAddr] {
			return m
		}
	}
	return nil
}

// playMissingFields: a server drains, and another writer stores an entry that
// lacks fields, at the address of that server.
func playMissingFields(w *world, trouble bool) error {
	if err := w.deploySmall(); err != nil {
		return err
	}
	w.publish([]route{w.newRoute(w.routeAddress(0), "booking", 2500), w.newRoute(w.routeAddress(1), "gallery", 5000)})
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	clients, err := w.addClients(0, 4)
	if err != nil {
		return err
	}
	s := w.mostFlows("booking", w.zones[0])
	var mu sync.Mutex
	var acknowledged time.Time
	w.onSyn = func(at *server, key flowKey) {
		mu.Lock()
		defer mu.Unlock()
		if at == s.server && !acknowledged.IsZero() && time.Since(acknowledged) > drainTime {
			w.rec.broken("DRAIN", "server %s took flow %s %.3f s after the store had acknowledged that it is draining", at.id, key.client, time.Since(acknowledged).Seconds())
		}
	}
	var done sync.WaitGroup
	end := time.Now().Add(13 * time.Second)
	for _, c := range clients {
		done.Go(func() { w.freshFlows(c, w.routeAddress(0), 40*time.Millisecond, end, &done) })
	}
	time.Sleep(2 * time.Second)
	asReady := maps.Clone(w.entries[s.server.id])
	at := w.setState(s.server, "draining")
	mu.Lock()
	acknowledged = at
	mu.Unlock()
	s.server.drain()
	w.rec.note("the store has acknowledged that server %s is draining", s.server.id)
	time.Sleep(time.Second)
	if trouble {
		for _, name := range []string{"version", "warmup-left-ms", "sequence"} {
			delete(asReady, name)
		}
		w.store.put("servers/x-42", asReady)
		w.rec.note("another writer has stored servers/x-42: the earlier entry of server %s without version, warmup-left-ms and sequence", s.server.id)
	}
	time.Sleep(drainTime + 4*time.Second)
	s.server.stop()
	w.store.remove("servers/" + s.server.id)
	w.rec.note("server %s has left", s.server.id)
	done.Wait()
	return nil
}

// Figures of the large configuration: routes beyond those in use, and the storm
// of changes.
const (
	moreRoutes = 350
	storms     = 3
	stormGap   = 60 * time.Millisecond
	stormTime  = 1500 * time.Millisecond
)

// playLargeWatch: the configuration grows and changes in quick succession. Then
// the two processes that watch the store are killed, and a version drops a route.
func playLargeWatch(w *world, trouble bool) error {
	if err := w.deploySmall(); err != nil {
		return err
	}
	dropped := w.routeAddress(2)
	routes := func(more, timeout int, withDropped bool) []route {
		out := []route{w.newRoute(w.routeAddress(0), "booking", 2500), w.newRoute(w.routeAddress(1), "gallery", 5000)}
		if withDropped {
			out = append(out, w.newRoute(dropped, "booking", 2500))
		}
		for i := range more {
			out = append(out, w.newRoute(w.routeAddress(3+i%200), "gallery", timeout))
			out[len(out)-1].Prefix = fmt.Sprintf("/%d/", 9000+i/200)
			out[len(out)-1].Name += fmt.Sprintf("-%d", i/200)
		}
		return out
	}
	w.publish(routes(0, 2500, true))
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	clients, err := w.addClients(0, 5)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var acknowledged time.Time
	w.onSyn = func(at *server, key flowKey) {
		mu.Lock()
		defer mu.Unlock()
		if acknowledged.IsZero() || key.route != dropped || w.machineOf(at).disturbed {
			return
		}
		if after := w.openedAt(key).Sub(acknowledged); after > configTime {
			w.rec.broken("CONFIG", "server %s took flow %s, which its client opened %.3f s after the store had acknowledged the version that drops its route", at.id, key.client, after.Seconds())
		}
	}
	var done sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for i, c := range clients {
		if i == 0 {
			// This client uses the route that is dropped.
			done.Go(func() { w.freshFlows(c, dropped, 100*time.Millisecond, end, &done) })
			continue
		}
		done.Go(func() { w.freshFlows(c, w.routeAddress(0), 40*time.Millisecond, end, &done) })
	}
	time.Sleep(time.Second)
	w.publish(routes(moreRoutes, 2500, true))
	time.Sleep(500 * time.Millisecond)
	for range storms {
		for i := range int(stormTime / stormGap) {
			w.publish(routes(moreRoutes, 2000+i, true))
			time.Sleep(stormGap)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if trouble {
		watching := w.store.watchers()
		for _, m := range w.of("side") {
			if watching[m.storeAddr] {
				w.kill(m, 4*time.Second)
			}
		}
	}
	at := w.publish(routes(moreRoutes, 2500, false))
	w.rec.note("this version drops the route %s", dropped)
	mu.Lock()
	acknowledged = at
	mu.Unlock()
	done.Wait()
	for _, m := range w.machines {
		w.rec.note("largest answer of the store to %s: %d bytes", m.name, w.store.largestResponse(m.storeAddr))
	}
	return nil
}

// openedAt returns when the client of a flow sent its first packet.
func (w *world) openedAt(key flowKey) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened[key]
}

func (w *world) machineOf(s *server) *machine {
	for _, m := range w.of("side") {
		if m.server == s {
			return m
		}
	}
	return nil
}

// playMissedVersion: an agent of booking stands still while a route leads to
// gallery for a moment. Clients open flows there. Later a balancer is stopped and
// started as planned, so that these flows come through other balancers, which ask
// the agents of booking.
func playMissedVersion(w *world, trouble bool) error {
	if err := w.deploySmall(); err != nil {
		return err
	}
	routes := func(service string) []route {
		return []route{w.newRoute(w.routeAddress(0), service, 2500), w.newRoute(w.routeAddress(1), "gallery", 5000)}
	}
	w.publish(routes("booking"))
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	clients, err := w.addClients(0, 12)
	if err != nil {
		return err
	}
	// An agent of booking in the zone of the clients, and not one that watches the
	// store: its pending watch would tell it each version.
	x := w.notWatching("booking", w.zones[0])
	if x == nil {
		return fmt.Errorf("all agents of booking in a zone watch the store")
	}
	if trouble {
		w.signal(x, syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	w.publish(routes("gallery"))
	time.Sleep(500 * time.Millisecond)
	var done sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	for i, c := range clients {
		for n := range 6 {
			time.Sleep(5 * time.Millisecond)
			done.Go(func() { w.keepFlow(c, n, 300*time.Millisecond+time.Duration(i)*7*time.Millisecond, end) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.publish(routes("booking"))
	time.Sleep(1300 * time.Millisecond)
	if trouble {
		w.signal(x, syscall.SIGCONT)
	}
	// stable-window-ms later all machines are in touch.
	time.Sleep(5 * time.Second)
	w.signal(w.of("frontend")[0], syscall.SIGTERM)
	done.Wait()
	return nil
}
