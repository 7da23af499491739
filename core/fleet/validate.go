package fleet

import (
	"errors"
	"fmt"
	"net/netip"
)

var (
	errNotIPv4 = errors.New("is not an IPv4 address with a port")
	errEmpty   = errors.New("is empty")
)

// Validate checks a delta received from another process. The error names the
// field. A view must not apply a delta that fails the check.
func (d *Delta) Validate() error {
	if d.ConfirmedMS < 0 {
		return fmt.Errorf("confirmed_ms: %d is negative", d.ConfirmedMS)
	}
	if d.DisturbedMS != nil && *d.DisturbedMS < 0 {
		return fmt.Errorf("disturbed_ms: %d is negative", *d.DisturbedMS)
	}
	if d.RemovalsKnownMS != nil && *d.RemovalsKnownMS < 0 {
		return fmt.Errorf("removals_known_ms: %d is negative", *d.RemovalsKnownMS)
	}
	if err := d.Drains.validate(); err != nil {
		return fmt.Errorf("drains.%w", err)
	}
	for i := range d.Changes {
		if err := d.Changes[i].validate(); err != nil {
			return fmt.Errorf("changes[%d].%w", i, err)
		}
	}
	for i := range d.PastServices {
		if err := d.PastServices[i].validate(); err != nil {
			return fmt.Errorf("past_services[%d].%w", i, err)
		}
	}
	if d.Config != nil {
		if err := validateRoutes(d.Config.Routes); err != nil {
			return fmt.Errorf("config.routes%w", err)
		}
	}
	if d.Patch != nil {
		if err := validateRoutes(d.Patch.Set); err != nil {
			return fmt.Errorf("patch.set%w", err)
		}
	}
	return nil
}

func (c *Change) validate() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("id: %w", errEmpty)
	case c.AgeMS < 0:
		return fmt.Errorf("age_ms: %d is negative", c.AgeMS)
	case c.RemovedMS < 0:
		return fmt.Errorf("removed_ms: %d is negative", c.RemovedMS)
	}
	if err := c.Target.validate(); err != nil {
		return fmt.Errorf("target.%w", err)
	}
	if err := c.Last.validate(); err != nil {
		return fmt.Errorf("last.%w", err)
	}
	return nil
}

// validate checks the state of a target, which may be nil.
func (t *Target) validate() error {
	switch {
	case t == nil:
		return nil
	case !isIPv4(t.Address):
		return fmt.Errorf("address: %w", errNotIPv4)
	case t.State != Ready && t.State != Draining:
		return fmt.Errorf("state: %q is not known", t.State)
	}
	return nil
}

func (p *PastService) validate() error {
	switch {
	case !isIPv4(p.Address):
		return fmt.Errorf("address: %w", errNotIPv4)
	case p.Service == "":
		return fmt.Errorf("service: %w", errEmpty)
	case p.AgoMS < 0:
		return fmt.Errorf("ago_ms: %d is negative", p.AgoMS)
	}
	return nil
}

func validateRoutes(routes []Route) error {
	for i := range routes {
		if !isIPv4(routes[i].Address) {
			return fmt.Errorf("[%d].address: %w", i, errNotIPv4)
		}
	}
	return nil
}

func isIPv4(a netip.AddrPort) bool { return a.IsValid() && a.Addr().Is4() }
