package confsync

import (
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

// serveHead responds with the head of the active configuration. If the query
// has a wait, it responds when its head or its list of VMs is newer than the
// peer's, or when the wait is over.
func (s *Sync) serveHead(w http.ResponseWriter, r *http.Request) {
	q, err := parseHeadQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.reportHigherHead(q)
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	st := s.state.Load()
	for q.wait > 0 && !config.HeadLess(q.have, st.head) && !q.vmRevision.less(st.vms.revision) {
		select {
		case <-st.changed:
			st = s.state.Load()
			continue
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.writeCBOR(w, headResponse{Version: st.head.Version, Hash: st.head.Hash, VMRevision: st.vms.revision.number, VMEpoch: st.vms.revision.epoch})
}

// reportHigherHead tells the machine that a peer has a higher head than this
// process. It ignores peers that are not in the list of VMs.
func (s *Sync) reportHigherHead(q headQuery) {
	st := s.state.Load()
	if !config.HeadLess(st.head, q.have) {
		return
	}
	if _, ok := st.vms.address(q.from); !ok {
		return
	}
	select {
	case s.events <- input{event: distribution.PeerQueried{From: distribution.Source(q.from), Head: q.have}}:
	default:
	}
}

func (s *Sync) serveManifest(w http.ResponseWriter, _ *http.Request) {
	st := s.state.Load()
	if st.config == nil {
		http.Error(w, "no configuration yet", http.StatusNotFound)
		return
	}
	s.writeCBOR(w, st.manifest)
}

func (s *Sync) servePart(w http.ResponseWriter, r *http.Request) {
	var h config.Hash
	if err := h.UnmarshalText([]byte(r.PathValue("sha256"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, ok := s.state.Load().parts.get(h)
	if !ok {
		http.Error(w, "no such part", http.StatusNotFound)
		return
	}
	s.writeBody(w, data)
}

// serveVMs responds with the changes of the list of VMs since the peer's
// revision, or with the full list.
func (s *Sync) serveVMs(w http.ResponseWriter, r *http.Request) {
	list := s.state.Load().vms
	if !list.loaded {
		http.Error(w, "no list of VMs yet", http.StatusNotFound)
		return
	}
	since, err := parseVMRevision(r.URL.Query().Get("epoch"), r.URL.Query().Get("since"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := list.updateSince(since).encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeBody(w, data)
}

func (s *Sync) writeCBOR(w http.ResponseWriter, message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	s.writeBody(w, data)
}

// writeBody writes a response body. It ignores write errors, which mean that
// the peer has gone.
func (s *Sync) writeBody(w http.ResponseWriter, data []byte) {
	n, _ := w.Write(data)
	s.counters.sentBytes.Add(n)
}
