package confsync

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

// serveHead answers with the head in force, at once or when it is above what
// the peer has.
func (s *Sync) serveHead(w http.ResponseWriter, r *http.Request) {
	q, err := parseHeadQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.noteAsker(q)
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	st := s.state.Load()
	for q.wait > 0 && !config.HeadLess(q.have, st.head) && st.vms.revision <= q.vms {
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
	s.answer(w, headAnswer{Version: st.head.Version, Hash: st.head.Hash, VMRevision: st.vms.revision})
}

// noteAsker hears a peer that has more than this process.
func (s *Sync) noteAsker(q headQuestion) {
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
	s.answer(w, st.manifest)
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
	s.send(w, data)
}

// serveVMs answers with what changed since the revision that the peer has, or
// with the whole list.
func (s *Sync) serveVMs(w http.ResponseWriter, r *http.Request) {
	list := s.state.Load().vms
	if !list.listed {
		http.Error(w, "no list of VMs yet", http.StatusNotFound)
		return
	}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	data, err := list.updateSince(since).encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.send(w, data)
}

func (s *Sync) answer(w http.ResponseWriter, message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	s.send(w, data)
}

// send writes an answer. A peer that is gone is not an error of this process.
func (s *Sync) send(w http.ResponseWriter, data []byte) {
	n, _ := w.Write(data)
	s.meters.sentByte.Add(n)
}
