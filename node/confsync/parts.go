package confsync

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
)

// oldVersions is how many earlier configurations keep their parts, for peers
// that are still fetching them.
const oldVersions = 2

// partSet holds the parts of a configuration, compressed: as JSON, the parts
// of a large fleet take several times the memory of the decoded form.
type partSet struct {
	mu    sync.RWMutex
	parts map[config.Hash][]byte
	// old holds parts that the configurations before had and this one has
	// not, newest first.
	old []map[config.Hash][]byte
}

func newPartSet() *partSet { return &partSet{parts: map[config.Hash][]byte{}} }

// get returns a part as it is sent to peers.
func (p *partSet) get(h config.Hash) ([]byte, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if data, ok := p.parts[h]; ok {
		return data, true
	}
	for _, old := range p.old {
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

// retain drops the parts that are not among hashes.
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

// keepOld takes over what peers may still ask for.
func (p *partSet) keepOld(before *partSet) {
	before.mu.RLock()
	defer before.mu.RUnlock()
	gone := map[config.Hash][]byte{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, data := range before.parts {
		if _, ok := p.parts[h]; !ok {
			gone[h] = data
		}
	}
	p.old = append([]map[config.Hash][]byte{gone}, before.old[:min(len(before.old), oldVersions-1)]...)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	// Errors are those of the buffer, which has none.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	_, _ = w.Write(data)
	_ = w.Close()
	return bytes.Clone(out.Bytes())
}

// decompress refuses output over limit bytes, so that a faulty peer cannot
// exhaust the memory.
func decompress(data []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, trace.BadParameter("compressed data: %v", err)
	}
	if len(out) > limit {
		return nil, trace.LimitExceeded("compressed data holds over %d bytes", limit)
	}
	return out, nil
}
