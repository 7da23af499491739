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
	// preferredPartBytes is the size that Split aims at for parts. A change of
	// one target makes every process fetch one part, so parts are small. A
	// process that starts fetches all parts, so they are not smaller.
	preferredPartBytes = 16 << 10
	// fullPartBytes is the size at which Split starts a new part. It leaves
	// room for one more chunk below MaxPartBytes.
	fullPartBytes = 400_000
	// maxChunkTargets bounds the targets in a chunk. A target takes under 450
	// bytes.
	maxChunkTargets = 1000
	// maxManifestRefs is the number of parts that a manifest lists directly.
	// If there are more, they are listed in a tree of indexes, each with up to
	// maxIndexRefs references. A process then fetches one index per level for
	// a change instead of a list of all parts.
	maxManifestRefs = 32
	maxIndexRefs    = 16
)

// Names of parts. Parts with services are named services/<bucket>/<number> and
// indexes are named index/<level>/<number>.
const (
	commonPartName = "common"
	servicePrefix  = "services/"
	indexPrefix    = "index/"
)

// commonContent is the content of the common part.
type commonContent struct {
	AgentNetworks []netip.Prefix    `json:"agent_networks"`
	Presets       map[string]Preset `json:"presets"`
}

// serviceContent is the content of a part with services. A service with
// targets in several parts appears in each of these parts.
type serviceContent struct {
	Services []Service `json:"services"`
}

// indexContent is the content of an index, which is a part that lists other
// parts.
type indexContent struct {
	Parts []PartRef `json:"parts"`
}

// Split returns the manifest and the parts of a configuration. The keys of the
// parts are their hashes in hexadecimal. The result does not depend on the
// order of services.
func Split(c *Config) (Manifest, map[string][]byte) {
	s := splitter{parts: map[string][]byte{}}
	refs := []PartRef{s.addPart(commonPartName, commonContent{c.AgentNetworks, c.Presets})}
	refs = append(refs, s.addServices(c.Services)...)
	for level := 1; len(refs) > maxManifestRefs; level++ {
		refs = s.addIndexes(level, refs)
	}
	return Manifest{Version: c.Version, Preset: c.Preset, Parts: refs}, s.parts
}

// SplitFile splits a configuration file of the operators and returns the
// encoded manifest and the parts by hash. It returns an error if the file
// cannot be decoded. It does not validate the values, because each process
// rejects a configuration that is not valid.
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

func (s *splitter) addPart(name string, content any) PartRef {
	data := mustMarshal(content)
	ref := PartRef{Name: name, SHA256: HashOf(data), Bytes: len(data)}
	s.parts[ref.SHA256.String()] = data
	return ref
}

func (s *splitter) addIndexes(level int, refs []PartRef) []PartRef {
	var out []PartRef
	for i := 0; i < len(refs); i += maxIndexRefs {
		name := fmt.Sprintf("%s%d/%04x", indexPrefix, level, i/maxIndexRefs)
		out = append(out, s.addPart(name, indexContent{refs[i:min(i+maxIndexRefs, len(refs))]}))
	}
	return out
}

// chunk is a service with at most maxChunkTargets of its targets, and its
// encoded size in bytes.
type chunk struct {
	service Service
	bytes   int
}

func splitIntoChunks(services []Service) []chunk {
	sorted := slices.Clone(services)
	slices.SortStableFunc(sorted, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	var out []chunk
	for _, s := range sorted {
		targets := s.Targets
		for first := true; first || len(targets) > 0; first = false {
			n := min(len(targets), maxChunkTargets)
			// A nil slice would be encoded as null, which Join rejects.
			s.Targets = append(make([]Target, 0, n), targets[:n]...)
			targets = targets[n:]
			out = append(out, chunk{s, len(mustMarshal(s))})
		}
	}
	return out
}

// addServices assigns each service to a bucket by its ID, so that a change of
// one service does not change the parts of other buckets.
func (s *splitter) addServices(services []Service) []PartRef {
	all, total := splitIntoChunks(services), 0
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
		refs = append(refs, s.addBucket(b, content)...)
	}
	return refs
}

// bucketCount returns the number of buckets for a total size in bytes. It is a
// power of two, so that a growing configuration moves services between buckets
// only when its size doubles.
func bucketCount(total int) int {
	n := 1
	for n*preferredPartBytes < total {
		n *= 2
	}
	return n
}

func (s *splitter) addBucket(number int, content []chunk) []PartRef {
	var refs []PartRef
	for len(content) > 0 {
		var part serviceContent
		for size := 0; len(content) > 0 && size < fullPartBytes; content = content[1:] {
			part.Services = append(part.Services, content[0].service)
			size += content[0].bytes
		}
		refs = append(refs, s.addPart(fmt.Sprintf("%s%04x/%d", servicePrefix, number, len(refs)), part))
	}
	return refs
}
