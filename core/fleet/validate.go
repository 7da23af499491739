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
	case c.Target == nil:
		return nil
	case !isIPv4(c.Target.Address):
		return fmt.Errorf("target.address: %w", errNotIPv4)
	case c.Target.State != Ready && c.Target.State != Draining:
		return fmt.Errorf("target.state: %q is not known", c.Target.State)
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
