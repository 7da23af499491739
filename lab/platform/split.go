package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/gravitational/trace"
)

type part struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

type manifest struct {
	Version uint64 `json:"version"`
	Preset  string `json:"preset"`
	Parts   []part `json:"parts"`
}

// Split puts the whole file into one part.
func Split(file []byte) ([]byte, map[string][]byte, error) {
	var m manifest
	if err := json.Unmarshal(file, &m); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	sum := sha256.Sum256(file)
	hash := hex.EncodeToString(sum[:])
	m.Parts = []part{{Name: "all", SHA256: hash, Bytes: len(file)}}
	data, err := json.Marshal(m)
	return data, map[string][]byte{hash: file}, trace.Wrap(err)
}
