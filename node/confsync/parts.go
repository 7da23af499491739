package confsync

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
)

// retainedVersions is how many earlier configurations keep their parts for
// peers that are still fetching them.
const retainedVersions = 2

// partSet holds the compressed parts of a configuration. They are compressed
// because the parts of a large fleet, as JSON, take several times the memory of
// the decoded configuration.
type partSet struct {
	mu    sync.RWMutex
	parts map[config.Hash][]byte
	// previous holds, newest first, the parts of earlier configurations that
	// the next configuration no longer had.
	previous []map[config.Hash][]byte
}

func newPartSet() *partSet { return &partSet{parts: map[config.Hash][]byte{}} }

// get returns a compressed part, as it is sent to peers.
func (p *partSet) get(h config.Hash) ([]byte, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if data, ok := p.parts[h]; ok {
		return data, true
	}
	for _, old := range p.previous {
		if data, ok := old[h]; ok {
			return data, true
		}
	}
	return nil, false
}

func (p *partSet) put(h config.Hash, compressed []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts[h] = compressed
}

// retain keeps only the parts with the given hashes. It takes those that p does
// not have from another set.
func (p *partSet) retain(hashes []config.Hash, from *partSet) {
	kept := make(map[config.Hash][]byte, len(hashes))
	for _, h := range hashes {
		data, ok := p.get(h)
		if !ok {
			data, ok = from.get(h)
		}
		if ok {
			kept[h] = data
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = kept
}

// keepPrevious takes over from the previous configuration's set the parts that
// only earlier configurations have, because peers may still request them.
func (p *partSet) keepPrevious(before *partSet) {
	before.mu.RLock()
	defer before.mu.RUnlock()
	removed := map[config.Hash][]byte{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, data := range before.parts {
		if _, ok := p.parts[h]; !ok {
			removed[h] = data
		}
	}
	p.previous = append([]map[config.Hash][]byte{removed}, before.previous[:min(len(before.previous), retainedVersions-1)]...)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	// Writes to a bytes.Buffer do not fail.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	_, _ = w.Write(data)
	_ = w.Close()
	return bytes.Clone(out.Bytes())
}

// decompress returns the decompressed data, or an error if it exceeds limit
// bytes, so that a faulty peer cannot exhaust the memory.
func decompress(data []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, trace.BadParameter("data cannot be decompressed: %v", err)
	}
	if len(out) > limit {
		return nil, trace.LimitExceeded("decompressed data exceeds %d bytes", limit)
	}
	return out, nil
}
