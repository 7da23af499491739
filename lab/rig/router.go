package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxMissedProbes is the number of missed probes in a row after which
	// routers send a balancer no more packets.
	maxMissedProbes = 2
)

// probeLoop probes the readiness of all balancers until the system stops.
func (s *System) probeLoop() {
	client := &http.Client{Timeout: probeTimeout}
	timer := time.NewTicker(probeInterval)
	defer timer.Stop()
	for {
		for _, b := range s.Balancers() {
			go s.probe(client, b)
		}
		select {
		case <-s.stop:
			return
		case <-timer.C:
		}
	}
}

func (s *System) probe(client *http.Client, b *VM) {
	response, err := client.Get(fmt.Sprintf("http://%s/v1/readyz", netip.AddrPortFrom(b.IP, portReady)))
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.missedProbes[b] = 0
	} else if missed, probed := s.missedProbes[b]; probed {
		s.missedProbes[b] = missed + 1
	}
}

// inRotation returns the balancers of a zone that routers send packets to. An
// empty zone stands for all zones. If fewer than half of the balancers are
// ready, it returns all that were not removed.
func (s *System) inRotation(zone string) (ready []*VM) {
	all := 0
	// A removed balancer is not probed. It stays in rotation for as long as it
	// would take to miss maxMissedProbes.
	for _, b := range append(append([]*VM(nil), s.balancers...), s.recentlyRemoved()...) {
		if zone != "" && b.Zone != zone {
			continue
		}
		all++
		if missed, probed := s.missedProbes[b]; probed && missed < maxMissedProbes {
			ready = append(ready, b)
		}
	}
	if 2*len(ready) < all {
		ready = ready[:0]
		for _, b := range s.balancers {
			if zone == "" || b.Zone == zone {
				ready = append(ready, b)
			}
		}
	}
	return ready
}

// recentlyRemoved returns the removed balancers that routers may still send
// packets to.
func (s *System) recentlyRemoved() (out []*VM) {
	for _, b := range s.removedVMs {
		if b.Target == nil && time.Since(b.disturbedAt) < maxMissedProbes*probeInterval {
			out = append(out, b)
		}
	}
	return out
}

// route returns a function that selects the balancer for a packet of a zone's
// callers: the hash of its addresses modulo the number of balancers in rotation.
// It uses other zones if the zone has no balancers.
func (s *System) route(zone string) func(src, dst netip.AddrPort) netip.AddrPort {
	return func(src, dst netip.AddrPort) netip.AddrPort {
		hash := xxhash.Sum64String(src.String() + dst.String())
		s.mu.Lock()
		defer s.mu.Unlock()
		ready := s.inRotation(zone)
		if len(ready) == 0 {
			ready = s.inRotation("")
		}
		if len(ready) == 0 {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(ready[hash%uint64(len(ready))].IP, portPackets)
	}
}

// configKey is the key of the routes in the store.
const configKey = "op/config"

// PublishRoutes writes the routes to the store under a new version.
func (s *System) PublishRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routeVersion += 1 + uint64(s.random.IntN(3))
	type route struct {
		Name      string `json:"name"`
		Host      string `json:"host"`
		Prefix    string `json:"prefix"`
		RouteType string `json:"route-type"`
		TimeoutMS int    `json:"timeout-ms"`
		Objective int    `json:"target-latency-ms"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
	}
	routes := []route{}
	for address, service := range s.routes {
		routes = append(routes, route{
			Name: "r-" + address.String(), Host: address.Addr().String(), Prefix: fmt.Sprintf("/%d/", address.Port()),
			RouteType: "safe", TimeoutMS: 2500, Objective: 250, Priority: 1, Service: service,
		})
	}
	services := []map[string]string{}
	for i := range s.Services {
		services = append(services, map[string]string{"name": s.Services[i].Name})
	}
	data, err := json.Marshal(map[string]any{"version": s.routeVersion, "routes": routes, "services": services, "limits": map[string]int{"idle-timeout-ms": idleMS}})
	if err != nil {
		s.failures = append(s.failures, err.Error())
		return
	}
	s.published = data
	s.Store.Put(configKey, data)
}

// SetRoute adds a route, or removes it if service is empty, and publishes the
// routes.
func (s *System) SetRoute(address netip.AddrPort, service string) {
	s.mu.Lock()
	if service == "" {
		delete(s.routes, address)
	} else {
		s.routes[address] = service
	}
	s.mu.Unlock()
	s.PublishRoutes()
}
