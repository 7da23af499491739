package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// maxDepth bounds the levels of indexes: 16^8 parts are beyond any size.
const maxDepth = 8

// MissingPartsError says which parts are needed to go on.
type MissingPartsError struct {
	// Parts are the parts that were not there.
	Parts []PartRef
}

// Error implements error.
func (e *MissingPartsError) Error() string {
	return fmt.Sprintf("%d parts are missing, the first is %s (%s)", len(e.Parts), e.Parts[0].Name, e.Parts[0].SHA256)
}

// Join builds the configuration from a manifest and its parts, keyed as by
// Split. Services are in the order of the parts.
func Join(m Manifest, parts map[string][]byte) (*Config, error) {
	var a Assembler
	return a.Assemble(m, func(r PartRef) ([]byte, bool) {
		data, ok := parts[r.SHA256.String()]
		return data, ok
	})
}

// Assembler builds successive configurations and decodes only the parts that
// changed. Configurations share the services of unchanged parts. The zero
// value is ready for use. It is not safe for concurrent use.
type Assembler struct {
	parsed map[Hash][]Service
	index  map[Hash][]PartRef
	common map[Hash]commonContent
	// keys are the keys of all services, sorted.
	keys []uint64
}

// Assemble builds and validates the configuration of a manifest. Function
// part returns the content of a part. The error is a *MissingError if parts
// are not there, and Errors if the configuration is not valid.
func (a *Assembler) Assemble(m Manifest, part func(PartRef) ([]byte, bool)) (*Config, error) {
	run := assembly{old: a, part: part, next: Assembler{
		parsed: map[Hash][]Service{}, index: map[Hash][]PartRef{}, common: map[Hash]commonContent{},
	}}
	c := &Config{Version: m.Version, Preset: m.Preset}
	run.refs(c, m.Parts, 0)
	if len(run.missing) > 0 {
		return nil, &MissingPartsError{run.missing}
	}
	if err := run.errs.Err(); err != nil {
		return nil, err
	}
	run.merge(c)
	if err := run.validate(c); err != nil {
		return nil, err
	}
	*a = run.next
	return c, nil
}

// Hashes returns the hashes of all parts of the configuration assembled last,
// indexes included.
func (a *Assembler) Hashes() []Hash {
	out := slices.Collect(maps.Keys(a.parsed))
	out = slices.AppendSeq(out, maps.Keys(a.index))
	return slices.AppendSeq(out, maps.Keys(a.common))
}

// assembly is one run of Assemble.
type assembly struct {
	old      *Assembler
	next     Assembler
	part     func(PartRef) ([]byte, bool)
	services []Service
	// fresh says which of the services come from parts decoded in this run.
	fresh []bool
	// changed are the indexes of services with content from those parts.
	changed []int
	missing []PartRef
	errs    Errors
}

func (r *assembly) refs(c *Config, refs []PartRef, depth int) {
	if depth > maxDepth {
		r.errs.Addf("parts", "more than %d levels of indexes", maxDepth)
		return
	}
	for _, ref := range refs {
		switch {
		case strings.HasPrefix(ref.Name, indexPrefix):
			content := load(r, ref, r.old.index, r.next.index, func(c *indexContent) []PartRef { return c.Parts })
			r.refs(c, content, depth+1)
		case strings.HasPrefix(ref.Name, servicePrefix):
			before := len(r.missing) + len(r.errs)
			_, known := r.old.parsed[ref.SHA256]
			services := load(r, ref, r.old.parsed, r.next.parsed, func(c *serviceContent) []Service { return c.Services })
			if len(r.missing)+len(r.errs) == before {
				r.append(services, !known)
			}
		case ref.Name == commonPart:
			content := load(r, ref, r.old.common, r.next.common, func(c *commonContent) commonContent { return *c })
			c.AgentNetworks, c.Presets = content.AgentNetworks, content.Presets
		default:
			r.errs.Addf(ref.Name, "part of an unknown kind")
		}
	}
}

func (r *assembly) append(services []Service, fresh bool) {
	r.services = append(r.services, services...)
	for range services {
		r.fresh = append(r.fresh, fresh)
	}
}

// load returns the decoded content of a part, from the previous configuration
// if it is there.
func load[C, T any](r *assembly, ref PartRef, old, next map[Hash]T, get func(*C) T) T {
	if known, ok := old[ref.SHA256]; ok {
		next[ref.SHA256] = known
		return known
	}
	var zero T
	data, ok := r.part(ref)
	if !ok {
		r.missing = append(r.missing, ref)
		return zero
	}
	if HashOf(data) != ref.SHA256 || len(data) != ref.Bytes || len(data) >= MaxPartBytes {
		r.errs.Addf(ref.Name, "part of %d bytes does not match its hash and length, or is too long", len(data))
		return zero
	}
	var content C
	if errs := strictjson.Decode(data, &content); len(errs) > 0 {
		for _, e := range errs {
			r.errs.Addf(ref.Name+"#"+e.Path, "%s", e.Reason)
		}
		return zero
	}
	next[ref.SHA256] = get(&content)
	return next[ref.SHA256]
}

// merge joins the targets of services that are in several parts. Split puts
// those next to each other.
func (r *assembly) merge(c *Config) {
	out := make([]Service, 0, len(r.services))
	for i, s := range r.services {
		last := len(out) - 1
		if last >= 0 && out[last].ID == s.ID && out[last].Name == s.Name && fullChunks(out[last].Targets) {
			out[last].Targets = slices.Concat(out[last].Targets, s.Targets)
		} else {
			out = append(out, s)
			last++
		}
		if n := len(r.changed); r.fresh[i] && (n == 0 || r.changed[n-1] != last) {
			r.changed = append(r.changed, last)
		}
	}
	c.Services = out
}

func fullChunks(targets []Target) bool {
	return len(targets) > 0 && len(targets)%chunkTargets == 0
}

// validate checks the services with fresh content, and what concerns all
// services. The other services were checked when their parts were fresh.
func (r *assembly) validate(c *Config) error {
	r.updateKeys()
	if !r.sameNetworks() {
		return c.Validate()
	}
	v := &validator{}
	v.head(c)
	for _, i := range r.changed {
		at := element("services", i)
		v.service(at, &c.Services[i], c.AgentNetworks)
		v.uniqueTargetNames(at, c.Services[i].Targets)
	}
	endpoints, services := repeats(r.next.keys)
	if services {
		v.uniqueServices(c.Services)
	}
	if endpoints {
		v.uniqueEndpoints(c.Services)
	}
	return v.errs.Err()
}

// updateKeys replaces the keys of parts that are gone by those of new parts.
func (r *assembly) updateKeys() {
	removed, added := keysOfOthers(r.old.parsed, r.next.parsed), keysOfOthers(r.next.parsed, r.old.parsed)
	r.next.keys = replaceKeys(r.old.keys, removed, added)
}

// keysOfOthers returns the sorted keys of the parts that are in a and not in
// b.
func keysOfOthers(a, b map[Hash][]Service) (keys []uint64) {
	for h, services := range a {
		if _, ok := b[h]; !ok {
			keys = appendKeys(keys, services)
		}
	}
	slices.Sort(keys)
	return keys
}

// sameNetworks reports whether the agent networks are those that the services
// of known parts were checked against.
func (r *assembly) sameNetworks() bool {
	for h := range r.next.common {
		if _, ok := r.old.common[h]; !ok {
			return false
		}
	}
	return len(r.next.common) > 0 && len(r.old.parsed) > 0
}
