package fleet

import (
	"maps"
	"time"
)

// serviceNames returns the services that a version names: those of Services, and
// those to which its routes lead. It returns nil if the version does not tell its
// services.
func (c *Config) serviceNames() map[string]bool {
	if c.Services == nil {
		return nil
	}
	names := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		names[s.Name] = true
	}
	for i := range c.Routes {
		for _, service := range c.Routes[i].services() {
			names[service] = true
		}
	}
	return names
}

// namesService reports whether the routes name a service. It is true for every
// service if they do not tell their services.
func (v *View) namesService(service string) bool { return v.named == nil || v.named[service] }

// setUnnamed keeps the state of an entry whose service no version names. The entry
// must not hide another one at its address, so it is not listed. It reports whether
// it was.
func (v *View) setUnnamed(now time.Duration, e *entry, c *Change) (changed bool) {
	e.unnamed = v.index.intern(c.Target, e.id)
	if e.target == nil && c.Last != nil {
		v.learnRemoved(now, e, c)
		return false
	}
	changed = e.listed() != nil
	v.unlist(now, e)
	return changed
}

// nameServices lists the entries whose services the routes name, and no others. It
// reports whether this changed the listed targets.
func (v *View) nameServices(now time.Duration) (changed bool) {
	before := v.named
	if v.named = v.config.serviceNames(); (v.named == nil) == (before == nil) && maps.Equal(v.named, before) {
		return false
	}
	for _, e := range v.entries {
		switch t := e.listed(); {
		case t != nil && !v.namesService(t.Service):
			e.unnamed = t
			v.unlist(now, e)
			changed = true
		case e.unnamed != nil && v.namesService(e.unnamed.Service):
			v.list(e, e.unnamed)
			changed = true
		}
	}
	return changed
}
