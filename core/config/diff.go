package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change describes one difference between two configurations.
type Change struct {
	// Text is the description of the change.
	Text string
	// Dangerous reports whether the change may break flows, misroute requests
	// or be ignored by the processes.
	Dangerous bool
}

// String returns the text. It has the prefix "DANGEROUS: " if the change is
// dangerous.
func (c Change) String() string {
	if c.Dangerous {
		return "DANGEROUS: " + c.Text
	}
	return c.Text
}

// Diff returns the changes from old to next.
func Diff(old, next *Config) []Change {
	d := &differ{}
	d.versions(old, next)
	if old.Preset != next.Preset {
		d.add("preset changes from %s to %s", old.Preset, next.Preset)
	}
	d.networks(old, next)
	d.presets(old.Presets, next.Presets)
	d.services(old.Services, next.Services)
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(format string, args ...any) {
	d.changes = append(d.changes, Change{Text: fmt.Sprintf(format, args...)})
}

func (d *differ) addDangerous(format string, args ...any) {
	d.changes = append(d.changes, Change{Text: fmt.Sprintf(format, args...), Dangerous: true})
}

func (d *differ) versions(old, next *Config) {
	switch {
	case next.Version < old.Version:
		d.addDangerous("version goes back from %d to %d: no process adopts it", old.Version, next.Version)
	case next.Version == old.Version && HeadOf(old) != HeadOf(next):
		d.addDangerous("version %d has other content already: the content with the higher hash wins, use version %d", old.Version, old.Version+1)
	}
}

func (d *differ) networks(old, next *Config) {
	for _, n := range next.AgentNetworks {
		if !slices.Contains(old.AgentNetworks, n) {
			d.add("agent network %s added", n)
		}
	}
	for _, n := range old.AgentNetworks {
		if !slices.Contains(next.AgentNetworks, n) {
			d.addDangerous("agent network %s removed: open flows to agents in it break", n)
		}
	}
}

func (d *differ) presets(old, next map[string]Preset) {
	for _, name := range slices.Sorted(maps.Keys(next)) {
		before, ok := old[name]
		if !ok {
			d.add("preset %s added", name)
			continue
		}
		d.fields("preset "+name, before, next[name])
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[name]; !ok {
			d.add("preset %s removed", name)
		}
	}
}

// fields adds a change for each field that differs, under its JSON name. The
// arguments old and next are structs of the same type.
func (d *differ) fields(subject string, old, next any) {
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		d.add("%s: %s changes from %v to %v", subject, name, x, y)
	}
}

func (d *differ) services(old, next []Service) {
	byName, ids := map[string]*Service{}, map[uint32]string{}
	for i := range old {
		byName[old[i].Name] = &old[i]
		ids[old[i].ID] = old[i].Name
	}
	kept := map[string]bool{}
	for i := range next {
		s := &next[i]
		kept[s.Name] = true
		if other, ok := ids[s.ID]; ok && other != s.Name {
			d.addDangerous("service %s reuses id %d of service %s: open flows of %s could reach %s", s.Name, s.ID, other, other, s.Name)
		}
		if before, ok := byName[s.Name]; ok {
			d.service(before, s)
			continue
		}
		d.add("service %s added at %s with %d targets", s.Name, s.Address, len(s.Targets))
	}
	for i := range old {
		if !kept[old[i].Name] {
			d.addDangerous("service %s removed: balancers stop serving %s, and its open flows break", old[i].Name, old[i].Address)
		}
	}
}

func (d *differ) service(old, next *Service) {
	subject := "service " + next.Name
	if old.ID != next.ID {
		d.addDangerous("%s: id changes from %d to %d: its open flows break", subject, old.ID, next.ID)
	}
	if old.Address != next.Address {
		d.addDangerous("%s: address changes from %s to %s: flows to the old address break", subject, old.Address, next.Address)
	}
	d.classes(subject, old.Classes, next.Classes)
	d.targets(subject, old.Targets, next.Targets)
}

func (d *differ) classes(subject string, old, next []Class) {
	byName := map[string]Class{}
	for _, c := range old {
		byName[c.Name] = c
	}
	for _, c := range next {
		before, ok := byName[c.Name]
		delete(byName, c.Name)
		if !ok {
			d.add("%s: class %s added for %s", subject, c.Name, c.PathPrefix)
			continue
		}
		if c.Repeatable && !before.Repeatable {
			d.addDangerous("%s: class %s becomes repeatable: its requests may run twice", subject, c.Name)
			before.Repeatable = true
		}
		d.fields(subject+": class "+c.Name, before, c)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		d.add("%s: class %s removed", subject, name)
	}
}

func (d *differ) targets(subject string, old, next []Target) {
	byName := make(map[string]*Target, len(old))
	for i := range old {
		byName[old[i].Name] = &old[i]
	}
	for i := range next {
		t := &next[i]
		before, ok := byName[t.Name]
		delete(byName, t.Name)
		if !ok {
			d.add("%s: target %s added at %s in %s, %d slots, %s", subject, t.Name, t.Agent, t.DataCentre, t.Slots, t.State)
			continue
		}
		d.target(subject+": target "+t.Name, before, t)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if byName[name].State == TargetDraining {
			d.add("%s: target %s removed after draining", subject, name)
			continue
		}
		d.addDangerous("%s: target %s removed without draining first: no new flows, and it is not asked to finish its requests", subject, name)
	}
}

func (d *differ) target(subject string, old, next *Target) {
	before := *old
	if before.State != next.State {
		if next.State == TargetDraining {
			d.add("%s drains: no new work, open flows stay", subject)
		} else {
			d.add("%s becomes active", subject)
		}
		before.State = next.State
	}
	if before.Agent != next.Agent {
		d.addDangerous("%s: agent address changes from %s to %s: open flows to the old address break if its process ends", subject, before.Agent, next.Agent)
		before.Agent = next.Agent
	}
	d.fields(subject, before, *next)
}
