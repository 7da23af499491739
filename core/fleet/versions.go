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
func (s *Versions) Add(c *Config, revision uint64) {
	if s.latest != nil && c.Version < s.latest.Version {
		s.addServices(c)
		return
	}
	if s.latest != nil {
		s.addServices(s.latest)
	}
	s.latest, s.revision = c, revision
}

// Services returns the number of services that are kept for earlier versions.
func (s *Versions) Services() int { return len(s.services) }

func (s *Versions) addServices(c *Config) {
	if s.services == nil {
		s.services = map[PastService]bool{}
	}
	for i := range c.Routes {
		for _, service := range c.Routes[i].services() {
			s.services[PastService{Address: c.Routes[i].Address, Service: service}] = true
		}
	}
}

// AddTo sets the routes of a delta to the latest version, and the past services to
// those of the others.
func (s *Versions) AddTo(d *Delta) {
	d.Config, d.ConfigRevision = s.latest, s.revision
	if s.latest == nil {
		return
	}
	for i := range s.latest.Routes {
		for _, service := range s.latest.Routes[i].services() {
			delete(s.services, PastService{Address: s.latest.Routes[i].Address, Service: service})
		}
	}
	for p := range s.services {
		d.PastServices = append(d.PastServices, p)
	}
	slices.SortFunc(d.PastServices, func(a, b PastService) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
}
