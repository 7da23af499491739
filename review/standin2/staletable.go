package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Steps of the case, relative to the return of the store.
const (
	outage = 4500 * time.Millisecond
	// firstStop and secondStop are when the agent gets SIGTERM.
	firstStop  = -300 * time.Millisecond
	secondStop = 900 * time.Millisecond
	// requestsAt is when the clients send a request on their open flows.
	requestsAt = 820 * time.Millisecond
	// entriesBack is when the servers have written their entries again.
	entriesBack = 1600 * time.Millisecond
	// lastRequestsAt is when the clients use their flows again.
	lastRequestsAt = 8 * time.Second
)

const (
	clientsPerZone = 25
	requestTimeout = 1200 * time.Millisecond
)

// staleTable restarts one agent twice, in a planned way, around the return of the
// store from an outage in which the entries of the servers have lapsed.
func staleTable(f *fleet, trouble bool) error {
	services := []service{{"rondeportaal", []int{3, 2, 2}, 3, 22 * time.Millisecond}, {"dossierarchief", []int{1, 1, 1}, 3, 5 * time.Millisecond}}
	if err := f.start(services, []int{2, 1, 1}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	flows, err := f.openFlows("rondeportaal", clientsPerZone)
	if err != nil {
		return err
	}
	if answered := requestAll(flows, "first"); answered < len(flows)*9/10 {
		return fmt.Errorf("%d of %d first requests were answered", answered, len(flows))
	}
	agent := f.busiest(flows)
	f.rec.note("flows %d, the agent that is restarted: %s", len(flows), agent.name)
	time.Sleep(time.Second)
	returns := time.Now().Add(outage)
	if trouble {
		f.setSilentServers(true)
		f.store.setDown(true)
		f.rec.trouble(true, "the store is down")
		time.AfterFunc(3*heartbeat, f.lapse)
	}
	at := func(step time.Duration) { time.Sleep(time.Until(returns.Add(step))) }
	var steps sync.WaitGroup
	steps.Go(func() {
		at(firstStop)
		f.signal(agent, syscall.SIGTERM)
		at(secondStop)
		f.signal(agent, syscall.SIGTERM)
	})
	at(0)
	if trouble {
		f.store.setDown(false)
		f.rec.trouble(false, "the store is back")
	}
	steps.Go(func() {
		at(entriesBack)
		f.setSilentServers(false)
		f.writeEntries()
		f.rec.trouble(false, "the servers have written their entries")
	})
	at(requestsAt)
	second := requestAll(flows, "second")
	steps.Wait()
	f.rec.note("second requests answered: %d of %d", second, len(flows))
	idleAll(flows, returns.Add(lastRequestsAt))
	third := requestAll(flows, "third")
	f.rec.note("third requests answered: %d of %d", third, len(flows))
	if agent.starts != 3 {
		return errors.New("the agent was not started three times")
	}
	return nil
}

// openFlows opens one flow for each client.
func (f *fleet) openFlows(service string, perZone int) ([]*clientFlow, error) {
	var flows []*clientFlow
	for z, zone := range zones {
		for n := range perZone {
			c, err := startClient(f, fmt.Sprintf("client-%s-%d", zone, n), zone, f.address(100+z, 1+n))
			if err != nil {
				return nil, err
			}
			flow := c.newFlow(f.addresses[service])
			if !flow.dial() {
				return nil, fmt.Errorf("flow of %s does not open", c.name)
			}
			flows = append(flows, flow)
		}
	}
	return flows, nil
}

// requestAll sends a request on each flow that is open and returns how many were
// answered.
func requestAll(flows []*clientFlow, name string) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for _, flow := range flows {
		group.Go(func() {
			if !flow.ended && flow.request(name+"-"+flow.name, requestTimeout) {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	group.Wait()
	return answered
}

// idleAll keeps the flows open until a time.
func idleAll(flows []*clientFlow, until time.Time) {
	var group sync.WaitGroup
	for _, flow := range flows {
		group.Go(func() { flow.idle(until) })
	}
	group.Wait()
}

// busiest returns the machine beside which most of the flows are open.
func (f *fleet) busiest(flows []*clientFlow) *machine {
	counts := map[*machine]int{}
	var best *machine
	for _, flow := range flows {
		f.rec.mu.Lock()
		owner := f.rec.owners[flow.id]
		f.rec.mu.Unlock()
		if owner == nil {
			continue
		}
		m := f.machineOf(owner.server)
		if counts[m]++; best == nil || counts[m] > counts[best] {
			best = m
		}
	}
	return best
}
