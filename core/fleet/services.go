package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// maxPastServices bounds the earlier services that a view keeps for an address.
const maxPastServices = 8

// pastService is a service to which an address no longer leads.
type pastService struct {
	service string
	leftAt  time.Duration
}

// ServicesOf returns the services that may have open flows of an address: those
// of its route, and those that it led to within RetiredRouteRetention, the
// latest first.
func (v *View) ServicesOf(address netip.AddrPort) []string {
	var services []string
	if r := v.routes[address]; r != nil {
		services = r.services()
	}
	for _, p := range slices.Backward(v.pastServices[address]) {
		if !slices.Contains(services, p.service) {
			services = append(services, p.service)
		}
	}
	return services
}

// services returns the services of a route. One without a weight is among them,
// because it may have had a weight in an earlier version.
func (r *Route) services() []string {
	var services []string
	for _, s := range r.Split {
		if s.Service != "" && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	if len(services) == 0 && r.Service != "" {
		services = append(services, r.Service)
	}
	return services
}

// recordPastServices records the services to which the addresses do not lead by
// the routes that replace those of the view.
func (v *View) recordPastServices(now time.Duration, routes map[netip.AddrPort]*Route) {
	for address, old := range v.routes {
		var services []string
		if r := routes[address]; r != nil {
			services = r.services()
		}
		for _, service := range old.services() {
			if !slices.Contains(services, service) {
				v.addPastService(address, pastService{service, now})
			}
		}
	}
}

func (v *View) addPastService(address netip.AddrPort, added pastService) {
	past := slices.DeleteFunc(v.pastServices[address], func(p pastService) bool { return p.service == added.service })
	past = append(past, added)
	v.pastServices[address] = past[max(0, len(past)-maxPastServices):]
}

// expirePastServices discards the earlier services whose open flows may be
// discarded by now.
func (v *View) expirePastServices(now time.Duration) {
	for address, past := range v.pastServices {
		past = slices.DeleteFunc(past, func(p pastService) bool { return now-p.leftAt > RetiredRouteRetention })
		if v.pastServices[address] = past; len(past) == 0 {
			delete(v.pastServices, address)
		}
	}
}
