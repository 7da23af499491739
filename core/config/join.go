package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// maxIndexDepth bounds the levels of indexes. Eight levels refer to 16^8
// parts, which is more than any configuration has.
const maxIndexDepth = 8

// MissingPartsError reports the parts that Assemble could not get.
type MissingPartsError struct {
	// Parts are the missing parts.
	Parts []PartRef
}

// Error implements error.
func (e *MissingPartsError) Error() string {
	return fmt.Sprintf("%d parts are missing, the first is %s (%s)", len(e.Parts), e.Parts[0].Name, e.Parts[0].SHA256)
}

// Join builds a configuration from a manifest and its parts. The parts have
// the keys that Split returns. Services are in the order of the parts.
func Join(m Manifest, parts map[string][]byte) (*Config, error) {
	var a Assembler
	return a.Assemble(m, func(r PartRef) ([]byte, bool) {
		data, ok := parts[r.SHA256.String()]
		return data, ok
	})
}

// Assembler builds successive configurations and decodes only the parts that
// changed. Configurations share the services of unchanged parts. The zero
// value is ready to use. An Assembler is not safe for concurrent use.
type Assembler struct {
	// services, indexes and common hold the decoded content of parts by hash.
	services map[Hash][]Service
	indexes  map[Hash][]PartRef
	common   map[Hash]commonContent
	// keys holds the sorted keys of all services; see appendKeys.
	keys []uint64
}

// Assemble builds and validates the configuration of a manifest. The function
// part returns the content of a part, or false if it does not have the part.
// The error is a *MissingPartsError if parts are missing, and of type Errors
// if the configuration is not valid.
func (a *Assembler) Assemble(m Manifest, part func(PartRef) ([]byte, bool)) (*Config, error) {
	run := assembly{previous: a, part: part, next: Assembler{
		services: map[Hash][]Service{}, indexes: map[Hash][]PartRef{}, common: map[Hash]commonContent{},
	}}
	c := &Config{Version: m.Version, Preset: m.Preset}
	run.loadRefs(c, m.Parts, 0)
	if len(run.missing) > 0 {
		return nil, &MissingPartsError{run.missing}
	}
	if err := run.errs.Err(); err != nil {
		return nil, err
	}
	run.mergeChunks(c)
	if err := run.validate(c); err != nil {
		return nil, err
	}
	*a = run.next
	return c, nil
}

// Hashes returns the hashes of all parts, including indexes, of the
// configuration that was assembled last.
func (a *Assembler) Hashes() []Hash {
	out := slices.Collect(maps.Keys(a.services))
	out = slices.AppendSeq(out, maps.Keys(a.indexes))
	return slices.AppendSeq(out, maps.Keys(a.common))
}

// assembly is the state of one call of Assemble.
type assembly struct {
	previous *Assembler
	next     Assembler
	part     func(PartRef) ([]byte, bool)
	services []Service
	// decoded reports for each element of services whether its part was decoded
	// in this call and not taken from the previous configuration.
	decoded []bool
	// changedServices holds the positions in Config.Services of services with
	// content from decoded parts.
	changedServices []int
	missing         []PartRef
	errs            Errors
}

func (r *assembly) loadRefs(c *Config, refs []PartRef, depth int) {
	if depth > maxIndexDepth {
		r.errs.Addf("parts", "more than %d levels of indexes", maxIndexDepth)
		return
	}
	for _, ref := range refs {
		switch {
		case strings.HasPrefix(ref.Name, indexPrefix):
			content := loadPart(r, ref, r.previous.indexes, r.next.indexes, func(c *indexContent) []PartRef { return c.Parts })
			r.loadRefs(c, content, depth+1)
		case strings.HasPrefix(ref.Name, servicePrefix):
			before := len(r.missing) + len(r.errs)
			_, known := r.previous.services[ref.SHA256]
			services := loadPart(r, ref, r.previous.services, r.next.services, func(c *serviceContent) []Service { return c.Services })
			if len(r.missing)+len(r.errs) == before {
				r.appendServices(services, !known)
			}
		case ref.Name == commonPartName:
			content := loadPart(r, ref, r.previous.common, r.next.common, func(c *commonContent) commonContent { return *c })
			c.AgentNetworks, c.Presets = content.AgentNetworks, content.Presets
		default:
			r.errs.Addf(ref.Name, "the part is of an unknown type")
		}
	}
}

func (r *assembly) appendServices(services []Service, decoded bool) {
	r.services = append(r.services, services...)
	for range services {
		r.decoded = append(r.decoded, decoded)
	}
}

// loadPart returns the decoded content of a part. It takes the content from
// the previous configuration if the part is unchanged.
func loadPart[C, T any](r *assembly, ref PartRef, previous, next map[Hash]T, extract func(*C) T) T {
	if known, ok := previous[ref.SHA256]; ok {
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
		r.errs.Addf(ref.Name, "the part of %d bytes does not match its hash and length, or is too long", len(data))
		return zero
	}
	var content C
	if errs := strictjson.Decode(data, &content); len(errs) > 0 {
		for _, e := range errs {
			r.errs.Addf(ref.Name+"#"+e.Path, "%s", e.Reason)
		}
		return zero
	}
	next[ref.SHA256] = extract(&content)
	return next[ref.SHA256]
}

// mergeChunks merges the chunks of each service. Split places the chunks of a
// service next to each other.
func (r *assembly) mergeChunks(c *Config) {
	out := make([]Service, 0, len(r.services))
	for i, s := range r.services {
		last := len(out) - 1
		if last >= 0 && out[last].ID == s.ID && out[last].Name == s.Name && onlyFullChunks(out[last].Targets) {
			out[last].Targets = slices.Concat(out[last].Targets, s.Targets)
		} else {
			out = append(out, s)
			last++
		}
		if n := len(r.changedServices); r.decoded[i] && (n == 0 || r.changedServices[n-1] != last) {
			r.changedServices = append(r.changedServices, last)
		}
	}
	c.Services = out
}

func onlyFullChunks(targets []Target) bool {
	return len(targets) > 0 && len(targets)%maxChunkTargets == 0
}

// validate checks the changed services, and the rules that concern all
// services together. The unchanged services were validated when their parts
// were decoded.
func (r *assembly) validate(c *Config) error {
	r.updateKeys()
	if !r.networksUnchanged() {
		return c.Validate()
	}
	v := &validator{}
	v.topLevel(c)
	for _, i := range r.changedServices {
		path := elementPath("services", i)
		v.service(path, &c.Services[i], c.AgentNetworks)
		v.uniqueTargetNames(path, c.Services[i].Targets)
	}
	endpoints, services := findDuplicateKeys(r.next.keys)
	if services {
		v.uniqueServices(c.Services)
	}
	if endpoints {
		v.uniqueEndpoints(c.Services)
	}
	return v.errs.Err()
}

// updateKeys removes the keys of parts that are no longer in the configuration
// and adds those of new parts.
func (r *assembly) updateKeys() {
	removed, added := keysOnlyInFirst(r.previous.services, r.next.services), keysOnlyInFirst(r.next.services, r.previous.services)
	r.next.keys = replaceKeys(r.previous.keys, removed, added)
}

// keysOnlyInFirst returns the sorted keys of the parts that are in a and not
// in b.
func keysOnlyInFirst(a, b map[Hash][]Service) (keys []uint64) {
	for h, services := range a {
		if _, ok := b[h]; !ok {
			keys = appendKeys(keys, services)
		}
	}
	slices.Sort(keys)
	return keys
}

// networksUnchanged reports whether the agent networks are those against which
// the services of unchanged parts were validated.
func (r *assembly) networksUnchanged() bool {
	for h := range r.next.common {
		if _, ok := r.previous.common[h]; !ok {
			return false
		}
	}
	return len(r.next.common) > 0 && len(r.previous.services) > 0
}
