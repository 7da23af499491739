package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// keptVersions is the number of earlier versions that a view keeps as the base
// of a patch.
const keptVersions = 8

// ConfigPatch leads from one version of the routes to another. Most versions
// change only a few of many routes.
type ConfigPatch struct {
	Base          uint64           `json:"base"`
	Version       uint64           `json:"version"`
	Set           []Route          `json:"set,omitempty"`
	Removed       []netip.AddrPort `json:"removed,omitempty"`
	IdleTimeoutMS int              `json:"idle_timeout_ms"`
	// ServicesDigest identifies the services of the version that the patch leads
	// to, 0 if the sender does not know them. Services is set only if they differ
	// from those of the base, because there may be thousands.
	ServicesDigest uint64    `json:"services_digest,omitempty"`
	Services       []Service `json:"services,omitempty"`
}

// servicesDigest returns a digest of the services of a version, or 0 if they are
// not known.
func (c *Config) servicesDigest() uint64 {
	if c.Services == nil {
		return 0
	}
	d := xxhash.New()
	for _, s := range c.Services {
		// Names do not contain the separator.
		fmt.Fprintf(d, "%s\x00%v\x00", s.Name, s.WarmupPerSecond)
	}
	return max(1, d.Sum64())
}

// Diff returns the patch between two versions.
func Diff(from, to *Config) *ConfigPatch {
	p := &ConfigPatch{Base: from.Version, Version: to.Version, IdleTimeoutMS: to.IdleTimeoutMS, ServicesDigest: to.servicesDigest()}
	if p.ServicesDigest != from.servicesDigest() {
		p.Services = to.Services
	}
	old := make(map[netip.AddrPort]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].Address] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		if o := old[r.Address]; o == nil || !reflect.DeepEqual(o, r) {
			p.Set = append(p.Set, *r)
		}
		delete(old, r.Address)
	}
	for address := range old {
		p.Removed = append(p.Removed, address)
	}
	slices.SortFunc(p.Removed, netip.AddrPort.Compare)
	return p
}

// Apply returns the version that the patch leads to, or nil if c is not the
// patch's base version.
func (p *ConfigPatch) Apply(c *Config) *Config {
	if c == nil || c.Version != p.Base {
		return nil
	}
	routes := make(map[netip.AddrPort]Route, len(c.Routes)+len(p.Set))
	for _, r := range c.Routes {
		routes[r.Address] = r
	}
	for _, address := range p.Removed {
		delete(routes, address)
	}
	for _, r := range p.Set {
		routes[r.Address] = r
	}
	out := &Config{Version: p.Version, IdleTimeoutMS: p.IdleTimeoutMS, Routes: make([]Route, 0, len(routes))}
	for _, r := range routes {
		out.Routes = append(out.Routes, r)
	}
	switch p.ServicesDigest {
	case 0:
	case c.servicesDigest():
		out.Services = c.Services
	default:
		out.Services = p.Services
	}
	slices.SortFunc(out.Routes, func(a, b Route) int { return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Name, b.Name)) })
	return out
}
