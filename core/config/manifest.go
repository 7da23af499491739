package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 hash of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash has %d characters, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// PartRef refers to a part and holds the hash and length that verify it.
type PartRef struct {
	// Name is the name of the part. Its prefix gives the type of the content.
	Name string `json:"name"`
	// SHA256 is the hash of the part. PartKey derives the part's key on the
	// platform from it.
	SHA256 Hash `json:"sha256"`
	// Bytes is the length of the part.
	Bytes int `json:"bytes"`
}

// Manifest lists the parts of one configuration.
type Manifest struct {
	// Version is the version of the configuration.
	Version uint64 `json:"version"`
	// Preset is the name of the active preset.
	Preset string `json:"preset"`
	// Parts is the top level of the tree of parts.
	Parts []PartRef `json:"parts"`
}

// ParseManifest decodes a manifest from JSON.
func ParseManifest(data []byte) (Manifest, error) {
	var m Manifest
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return Manifest{}, fmt.Errorf("manifest: %w", err)
	}
	if m.Version == 0 {
		return Manifest{}, fmt.Errorf("manifest: version is 0 or missing")
	}
	return m, nil
}

// Encode returns the manifest as JSON. Equal manifests have equal encodings.
func (m Manifest) Encode() []byte { return mustMarshal(m) }

// Hash returns the hash of the manifest. It covers the content of all parts
// through their hashes.
func (m Manifest) Hash() Hash { return HashOf(m.Encode()) }

// Head returns the head that identifies the manifest.
func (m Manifest) Head() Head { return Head{Version: m.Version, Hash: m.Hash()} }

// Head identifies a configuration and orders it among others. The zero Head
// means no configuration and is lower than any other.
type Head struct {
	// Version is the version set by the operator.
	Version uint64 `json:"version"`
	// Hash is the hash of the manifest.
	Hash Hash `json:"hash"`
}

// IsZero reports whether h is the zero Head.
func (h Head) IsZero() bool { return h == Head{} }

// String returns the version and the first 6 bytes of the hash.
func (h Head) String() string { return fmt.Sprintf("%d.%x", h.Version, h.Hash[:6]) }

// CompareHeads compares heads by version, then by hash. The order is total: if
// two contents are published under one version, all processes choose the same
// one without coordination.
func CompareHeads(a, b Head) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), bytes.Compare(a.Hash[:], b.Hash[:]))
}

// HeadLess reports whether a is lower than b.
func HeadLess(a, b Head) bool { return CompareHeads(a, b) < 0 }

// HeadOf returns the head under which c is published.
func HeadOf(c *Config) Head {
	m, _ := Split(c)
	return m.Head()
}

// mustMarshal encodes a value of this package as JSON. It panics if that
// fails, which the types of this package do not allow.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: encoding %T: %v", v, err))
	}
	return data
}
