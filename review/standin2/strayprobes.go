package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Steps of the case, relative to the kill of all processes.
const (
	firstRoll  = 3 * time.Second
	secondRoll = 8 * time.Second
	rollGap    = 1200 * time.Millisecond
	// The clients use their idle flows again at random times between wakeFrom and
	// wakeTo.
	wakeFrom = 7900 * time.Millisecond
	wakeTo   = 11500 * time.Millisecond
)

const (
	idleClients = 250
	// busyClients open a flow for each request, one after the other.
	busyClients = 20
	busyPause   = 250 * time.Millisecond
)

// strayProbes kills all processes, and then restarts the agents of one zone twice in
// turn, in a planned way, while clients use flows again that were idle.
func strayProbes(f *fleet, trouble bool) error {
	return f.wakeAfterKill(trouble, []time.Duration{firstRoll, secondRoll})
}

// splitBudget does the same on a route that leads to two services, and restarts the
// agents once.
func splitBudget(f *fleet, trouble bool) error {
	f.splits = map[string]map[string]int{"rondeportaal": {"rondeportaal": 90, "dossierarchief": 10}}
	return f.wakeAfterKill(trouble, []time.Duration{firstRoll})
}

func (f *fleet) wakeAfterKill(trouble bool, rolls []time.Duration) error {
	services := []service{{"rondeportaal", []int{3, 2, 2}, 3, 22 * time.Millisecond}, {"dossierarchief", []int{1, 1, 1}, 3, 5 * time.Millisecond}}
	if err := f.start(services, []int{2, 1, 1}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	zone := zones[0]
	var flows []*clientFlow
	for n := range idleClients {
		c, err := startClient(f, fmt.Sprintf("idle-%d", n), zone, f.address(100, 1+n))
		if err != nil {
			return err
		}
		flow := c.newFlow(f.addresses["rondeportaal"])
		if !flow.dial() || !flow.request("first-"+c.name, requestTimeout) {
			return fmt.Errorf("flow of %s is not served", c.name)
		}
		flows = append(flows, flow)
	}
	kill := time.Now().Add(500 * time.Millisecond)
	at := func(step time.Duration) { time.Sleep(time.Until(kill.Add(step))) }
	at(0)
	if trouble {
		for _, m := range append(append([]*machine{}, f.fronts...), f.sides...) {
			f.signal(m, syscall.SIGKILL)
		}
	}
	var work sync.WaitGroup
	for n := range busyClients {
		c, err := startClient(f, fmt.Sprintf("busy-%d", n), zone, f.address(101, 1+n))
		if err != nil {
			return err
		}
		work.Go(func() { c.repeat("rondeportaal", kill.Add(2*time.Second), kill.Add(wakeTo+time.Second)) })
	}
	work.Go(func() {
		for _, roll := range rolls {
			step := 0
			for _, m := range f.sides {
				if m.zone == zone && m.server.service == "rondeportaal" {
					at(roll + time.Duration(step)*rollGap)
					f.signal(m, syscall.SIGTERM)
					step++
				}
			}
		}
	})
	for _, flow := range flows {
		wake := kill.Add(wakeFrom + rand.N(wakeTo-wakeFrom))
		work.Go(func() {
			flow.idle(wake)
			if !flow.ended {
				flow.request("second-"+flow.name, requestTimeout)
				flow.idle(kill.Add(wakeTo + 5*time.Second))
			}
		})
	}
	work.Wait()
	return nil
}

// repeat makes requests on new flows, one after the other, until a time.
func (c *client) repeat(service string, from, until time.Time) {
	time.Sleep(time.Until(from) + rand.N(busyPause))
	for n := 0; time.Now().Before(until); n++ {
		flow := c.newFlow(c.fleet.addresses[service])
		if flow.dial() && flow.request(fmt.Sprintf("request-%d-of-%s", n, c.name), requestTimeout) && !flow.ended {
			flow.send(packet{flags: flagFin | flagAck, seq: flow.next, ack: flow.received})
		}
		flow.idle(time.Now().Add(busyPause))
		c.mu.Lock()
		delete(c.flows, flow.id.client.Port())
		c.mu.Unlock()
	}
}
