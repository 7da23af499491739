package fleet

import (
	"cmp"
	"slices"
)

// Versions collects the versions of the routes in one answer of the platform. A
// process that adopts only the latest of them still needs to know to which services
// the addresses led by the others, because flows may have opened there.
type Versions struct {
	latest   *Config
	revision uint64
	services map[PastService]bool
}

// Add adds a version with its revision.
func (v *Versions) Add(c *Config, revision uint64) {
	if v.latest != nil && c.Version < v.latest.Version {
		v.addServices(c)
		return
	}
	if v.latest != nil {
		v.addServices(v.latest)
	}
	v.latest, v.revision = c, revision
}

// Services returns the number of services that are kept for earlier versions.
func (v *Versions) Services() int { return len(v.services) }

func (v *Versions) addServices(c *Config) {
	if v.services == nil {
		v.services = map[PastService]bool{}
	}
	for i := range c.Routes {
		for _, service := range c.Routes[i].services() {
			v.services[PastService{Address: c.Routes[i].Address, Service: service}] = true
		}
	}
}

// AddTo sets the routes of a delta to the latest version, and the past services to
// those of the others.
func (v *Versions) AddTo(d *Delta) {
	d.Config, d.ConfigRevision = v.latest, v.revision
	if v.latest == nil {
		return
	}
	for i := range v.latest.Routes {
		for _, service := range v.latest.Routes[i].services() {
			delete(v.services, PastService{Address: v.latest.Routes[i].Address, Service: service})
		}
	}
	for p := range v.services {
		d.PastServices = append(d.PastServices, p)
	}
	slices.SortFunc(d.PastServices, func(a, b PastService) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
}
