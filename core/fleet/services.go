package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxPastServices bounds the earlier services that a view keeps for an address.
const maxPastServices = 16

// pastService is a service to which an address no longer leads.
type pastService struct {
	service string
	leftAt  time.Duration
	// version is that of the routes with which the view learned of it.
	version uint64
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

// MayHaveForgottenServices reports whether the view keeps as many earlier services of
// an address as it may. A service that it has forgotten may have open flows of the
// address, although it is not among ServicesOf.
func (v *View) MayHaveForgottenServices(address netip.AddrPort) bool {
	return len(v.pastServices[address]) >= maxPastServices
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
// the routes of a version, which replace those of the view.
func (v *View) recordPastServices(now time.Duration, version uint64, routes map[netip.AddrPort]*Route) {
	for address, old := range v.routes {
		var services []string
		if r := routes[address]; r != nil {
			services = r.services()
		}
		for _, service := range old.services() {
			if !slices.Contains(services, service) {
				v.addPastService(address, pastService{service, now, version})
			}
		}
	}
}

// addPastService adds a service to the history of an address. If the service is
// in it already, the later time and version count.
func (v *View) addPastService(address netip.AddrPort, added pastService) {
	past := v.pastServices[address]
	if i := slices.IndexFunc(past, func(p pastService) bool { return p.service == added.service }); i >= 0 {
		added.leftAt, added.version = max(added.leftAt, past[i].leftAt), max(added.version, past[i].version)
		past = slices.Delete(past, i, i+1)
	}
	past = append(past, added)
	slices.SortStableFunc(past, func(a, b pastService) int { return cmp.Compare(a.leftAt, b.leftAt) })
	v.pastServices[address] = past[max(0, len(past)-maxPastServices):]
}

// pastServicesAt returns the earlier services of all addresses, for a peer.
func (v *View) pastServicesAt(now time.Duration) []PastService {
	var told []PastService
	for _, address := range slices.SortedFunc(maps.Keys(v.pastServices), netip.AddrPort.Compare) {
		for _, p := range v.pastServices[address] {
			told = append(told, p.tell(now, address))
		}
	}
	return told
}

// pastServicesBetween returns the earlier services that a peer with the version
// base does not know, although it knows those before base: services to which
// addresses led between base and the version of the view.
func (v *View) pastServicesBetween(now time.Duration, base *Config) []PastService {
	byBase := map[netip.AddrPort]*Route{}
	for i := range base.Routes {
		byBase[base.Routes[i].Address] = &base.Routes[i]
	}
	var told []PastService
	for _, address := range slices.SortedFunc(maps.Keys(v.pastServices), netip.AddrPort.Compare) {
		r := byBase[address]
		for _, p := range v.pastServices[address] {
			if p.version > base.Version && (r == nil || !slices.Contains(r.services(), p.service)) {
				told = append(told, p.tell(now, address))
			}
		}
	}
	return told
}

func (p *pastService) tell(now time.Duration, address netip.AddrPort) PastService {
	return PastService{address, p.service, max(0, now-p.leftAt).Milliseconds()}
}

// addToldServices adds the earlier services that a delta tells.
func (v *View) addToldServices(now time.Duration, d *Delta) {
	version := max(v.Version(), d.configVersion())
	for _, p := range d.PastServices {
		if ago := time.Duration(p.AgoMS) * time.Millisecond; p.AgoMS <= RetiredRouteRetention.Milliseconds() {
			v.addPastService(p.Address, pastService{p.Service, now - ago, version})
		}
	}
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
