package confsync

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"trefoilweir.example/core/config"
)

// Paths on the peer link.
const (
	headPath     = "/config/head"
	manifestPath = "/config/manifest"
	partPath     = "/config/parts/"
	vmsPath      = "/config/vms"
)

// headAnswer is the answer to a question for the head.
type headAnswer struct {
	Version uint64      `cbor:"1,keyasint"`
	Hash    config.Hash `cbor:"2,keyasint"`
	// VMRevision is the revision of the list of VMs.
	VMRevision uint64 `cbor:"3,keyasint"`
}

func (a headAnswer) head() config.Head { return config.Head{Version: a.Version, Hash: a.Hash} }

// headQuestion is the query of a question for the head.
type headQuestion struct {
	// from is the name of the VM that asks, and have what it has. A peer with
	// less learns of it.
	from string
	have config.Head
	vms  uint64
	// wait is how long the answer may wait for something above have or vms.
	// Zero asks for an answer at once.
	wait time.Duration
}

func (q headQuestion) path() string {
	values := url.Values{
		"from":    {q.from},
		"version": {strconv.FormatUint(q.have.Version, 10)},
		"hash":    {q.have.Hash.String()},
		"vms":     {strconv.FormatUint(q.vms, 10)},
		"wait":    {q.wait.String()},
	}
	return headPath + "?" + values.Encode()
}

func parseHeadQuestion(values url.Values) (q headQuestion, err error) {
	q.from = values.Get("from")
	if q.have.Version, err = strconv.ParseUint(values.Get("version"), 10, 64); err != nil {
		return q, fmt.Errorf("version: %w", err)
	}
	if err = q.have.Hash.UnmarshalText([]byte(values.Get("hash"))); err != nil {
		return q, err
	}
	if q.vms, err = strconv.ParseUint(values.Get("vms"), 10, 64); err != nil {
		return q, fmt.Errorf("vms: %w", err)
	}
	if q.wait, err = time.ParseDuration(values.Get("wait")); err != nil {
		return q, fmt.Errorf("wait: %w", err)
	}
	q.wait = min(max(q.wait, 0), peerWait)
	return q, nil
}
