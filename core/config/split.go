package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"trefoilweir.example/core/strictjson"
)

// Sizes of parts.
const (
	// MaxPartBytes is the platform's limit for one value.
	MaxPartBytes = 1_000_000
	// partBytes is the size that parts aim at. A change of one target makes
	// every process fetch one part, so parts are small; a start fetches all
	// of them, so they are not smaller.
	partBytes = 16 << 10
	// fullPart is the size at which a part is closed. It leaves room for one
	// more chunk below MaxPartBytes.
	fullPart = 400_000
	// chunkTargets bounds the targets of one service in one part. A target
	// takes under 450 bytes.
	chunkTargets = 1000
	// maxRefs is the most parts that a manifest lists directly, and indexRefs
	// how many an index takes when there are more. A tree of indexes keeps a
	// change small: one index per level instead of a list of all parts.
	maxRefs   = 32
	indexRefs = 16
)

// Names of parts. Parts with services are named services/<bucket>/<number>,
// indexes index/<level>/<number>.
const (
	commonPart    = "common"
	servicePrefix = "services/"
	indexPrefix   = "index/"
)

// commonContent is the content of the part "common".
type commonContent struct {
	AgentNetworks []netip.Prefix    `json:"agent_networks"`
	Presets       map[string]Preset `json:"presets"`
}

// serviceContent is the content of a part with services. A service whose
// targets are in several parts appears in each of them.
type serviceContent struct {
	Services []Service `json:"services"`
}

// indexContent is the content of an index.
type indexContent struct {
	Parts []PartRef `json:"parts"`
}

// Split returns the manifest and the parts of a configuration, keyed by their
// hash in hexadecimal. The result does not depend on the order of services.
func Split(c *Config) (Manifest, map[string][]byte) {
	s := splitter{parts: map[string][]byte{}}
	refs := []PartRef{s.add(commonPart, commonContent{c.AgentNetworks, c.Presets})}
	refs = append(refs, s.services(c.Services)...)
	for level := 1; len(refs) > maxRefs; level++ {
		refs = s.index(level, refs)
	}
	return Manifest{Version: c.Version, Preset: c.Preset, Parts: refs}, s.parts
}

// SplitFile splits an operators' file and returns the encoded manifest and the
// parts by hash. It refuses a file that is not of the right form, and leaves
// limits to the processes, which refuse a configuration that is not valid.
func SplitFile(file []byte) (manifest []byte, parts map[string][]byte, err error) {
	var c Config
	if err := strictjson.Decode(file, &c).Err(); err != nil {
		return nil, nil, err
	}
	m, parts := Split(&c)
	return m.Encode(), parts, nil
}

// PartKey returns the key of a part on the platform.
func PartKey(h Hash) string { return "parts/" + h.String() }

type splitter struct {
	parts map[string][]byte
}

func (s *splitter) add(name string, content any) PartRef {
	data := mustMarshal(content)
	ref := PartRef{Name: name, SHA256: HashOf(data), Bytes: len(data)}
	s.parts[ref.SHA256.String()] = data
	return ref
}

func (s *splitter) index(level int, refs []PartRef) []PartRef {
	var out []PartRef
	for i := 0; i < len(refs); i += indexRefs {
		name := fmt.Sprintf("%s%d/%04x", indexPrefix, level, i/indexRefs)
		out = append(out, s.add(name, indexContent{refs[i:min(i+indexRefs, len(refs))]}))
	}
	return out
}

// chunk is a service with some of its targets, and its encoded size.
type chunk struct {
	service Service
	bytes   int
}

func chunks(services []Service) []chunk {
	sorted := slices.Clone(services)
	slices.SortStableFunc(sorted, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	var out []chunk
	for _, s := range sorted {
		targets := s.Targets
		for first := true; first || len(targets) > 0; first = false {
			n := min(len(targets), chunkTargets)
			// A nil list would be encoded as null, which Join refuses.
			s.Targets = append(make([]Target, 0, n), targets[:n]...)
			targets = targets[n:]
			out = append(out, chunk{s, len(mustMarshal(s))})
		}
	}
	return out
}

// services puts each service into the bucket of its ID, so that a change of
// one service leaves the parts of the others as they are.
func (s *splitter) services(services []Service) []PartRef {
	all, total := chunks(services), 0
	for _, c := range all {
		total += c.bytes
	}
	buckets := make([][]chunk, bucketCount(total))
	for _, c := range all {
		b := int(c.service.ID) & (len(buckets) - 1)
		buckets[b] = append(buckets[b], c)
	}
	var refs []PartRef
	for b, content := range buckets {
		refs = append(refs, s.bucket(b, content)...)
	}
	return refs
}

// bucketCount returns a power of two, so that a growing configuration is
// distributed anew only when it doubles.
func bucketCount(total int) int {
	n := 1
	for n*partBytes < total {
		n *= 2
	}
	return n
}

func (s *splitter) bucket(number int, content []chunk) []PartRef {
	var refs []PartRef
	for len(content) > 0 {
		var part serviceContent
		for size := 0; len(content) > 0 && size < fullPart; content = content[1:] {
			part.Services = append(part.Services, content[0].service)
			size += content[0].bytes
		}
		refs = append(refs, s.add(fmt.Sprintf("%s%04x/%d", servicePrefix, number, len(refs)), part))
	}
	return refs
}
