package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Hash is a SHA-256 sum.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 sum of data.
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

// PartRef names a part and says how to check it.
type PartRef struct {
	// Name says what the part holds; see Split.
	Name string `json:"name"`
	// SHA256 is the sum of the part, and its key on the platform.
	SHA256 Hash `json:"sha256"`
	// Bytes is the length of the part.
	Bytes int `json:"bytes"`
}

// Manifest lists the parts of one configuration.
type Manifest struct {
	// Version orders manifests.
	Version uint64 `json:"version"`
	// Preset names the preset in force.
	Preset string `json:"preset"`
	// Parts are the top level of a tree of parts.
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

// Encode returns the manifest as JSON. Equal manifests encode equally.
func (m Manifest) Encode() []byte { return mustMarshal(m) }

// Hash returns the hash of the manifest. It covers the content of all parts
// through their hashes.
func (m Manifest) Hash() Hash { return HashOf(m.Encode()) }

// Head returns what orders the manifest among others.
func (m Manifest) Head() Head { return Head{Version: m.Version, Hash: m.Hash()} }

// Head identifies a configuration and gives its place in the order. The zero
// Head stands for no configuration and is below every other.
type Head struct {
	// Version is the version that the operator gave.
	Version uint64 `json:"version"`
	// Hash is the hash of the manifest.
	Hash Hash `json:"hash"`
}

// IsZero reports whether h stands for no configuration.
func (h Head) IsZero() bool { return h == Head{} }

// String returns the version and the start of the hash.
func (h Head) String() string { return fmt.Sprintf("%d.%x", h.Version, h.Hash[:6]) }

// CompareHeads orders heads by version, then by hash. The order is total, so that
// all processes choose the same of two contents published under one version
// without talking to each other.
func CompareHeads(a, b Head) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), bytes.Compare(a.Hash[:], b.Hash[:]))
}

// HeadLess reports whether a comes before b.
func HeadLess(a, b Head) bool { return CompareHeads(a, b) < 0 }

// HeadOf returns the head that c has when it is published.
func HeadOf(c *Config) Head {
	m, _ := Split(c)
	return m.Head()
}

// mustMarshal encodes values of this package, whose types always encode.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: encoding of %T: %v", v, err))
	}
	return data
}
