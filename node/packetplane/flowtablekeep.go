package packetplane

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/node/telemetry"
)

// ServeHTTP serves the keeper's side of the transfer.
func (t *flowTables) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		t.serveTable(w, r)
	case http.MethodPost:
		t.serveClaim(w, r)
	default:
		w.Header().Set("Allow", "PUT, POST")
		http.Error(w, "method is not supported", http.StatusMethodNotAllowed)
	}
}

// serveTable receives a table to keep. A stopping agent takes none.
func (t *flowTables) serveTable(w http.ResponseWriter, r *http.Request) {
	select {
	case t.transfers <- struct{}{}:
		defer func() { <-t.transfers }()
	case <-time.After(transferWait):
		t.count("keep", "busy")
		http.Error(w, "too many transfers", http.StatusServiceUnavailable)
		return
	}
	if t.isStopping() {
		t.count("keep", "stopping")
		http.Error(w, flowtable.ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	// A sender that has vanished must not occupy a transfer.
	err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(receiveTimeout))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, flowtable.MaxTableBytes+entryOverhead))
	}
	if err != nil {
		t.count("keep", "cut_off")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.countBytes("received", len(body))
	entry, err := flowtable.DecodeEntry(body)
	if err == nil {
		t.mu.Lock()
		err = t.kept.Put(t.now(), entry)
		t.mu.Unlock()
	}
	result, status := "kept", http.StatusNoContent
	switch {
	case err == nil:
	case errors.Is(err, flowtable.ErrClosed):
		result, status = "stopping", http.StatusServiceUnavailable
	case errors.Is(err, flowtable.ErrFull):
		result, status = "full", http.StatusInsufficientStorage
	case errors.Is(err, flowtable.ErrOutdated):
		result, status = "outdated", http.StatusConflict
	default:
		result, status = "invalid", http.StatusBadRequest
	}
	t.count("keep", result)
	t.Log.Debug("flow table offered", telemetry.Peer(r.RemoteAddr), telemetry.Reason(result), zap.Int("bytes", len(body)))
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.WriteHeader(status)
}

func (t *flowTables) isStopping() bool {
	t.agent.Process.mu.Lock()
	defer t.agent.Process.mu.Unlock()
	return t.stopping
}

// serveClaim answers a claim with the table, if there is one.
func (t *flowTables) serveClaim(w http.ResponseWriter, r *http.Request) {
	agent, err := netip.ParseAddr(r.URL.Query().Get(queryAgent))
	if err != nil || !agent.Is4() {
		http.Error(w, queryAgent+" is not an address", http.StatusBadRequest)
		return
	}
	run, err := strconv.ParseUint(r.URL.Query().Get(queryRun), 10, 64)
	if err != nil {
		http.Error(w, queryRun+" is not a number", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	answer := t.kept.Claim(t.now(), agent, run)
	t.mu.Unlock()
	if answer.Table != nil {
		t.count("give", "table")
		t.Log.Info("flow table given to its agent", zap.Stringer("agent", agent), zap.Int("bytes", len(answer.Table)), zap.Int64("age_ms", answer.Age.Milliseconds()))
	}
	if _, err := w.Write(answer.Encode()); err != nil {
		t.Log.Debug("cannot send an answer to a claim", telemetry.Error(err))
	}
}
