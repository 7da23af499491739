package confsync

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"trefoilweir.example/core/config"
)

// Request paths on the peer link.
const (
	headPath     = "/config/head"
	manifestPath = "/config/manifest"
	partPath     = "/config/parts/"
	vmsPath      = "/config/vms"
)

// headResponse is the response to a headQuery.
type headResponse struct {
	Version uint64      `cbor:"1,keyasint"`
	Hash    config.Hash `cbor:"2,keyasint"`
	// VMRevision is the revision of the list of VMs, VMEpoch its epoch.
	VMRevision uint64 `cbor:"3,keyasint"`
	VMEpoch    uint64 `cbor:"4,keyasint,omitempty"`
}

func (a headResponse) head() config.Head { return config.Head{Version: a.Version, Hash: a.Hash} }

func (a headResponse) vmRevision() vmRevision { return vmRevision{a.VMEpoch, a.VMRevision} }

// headQuery holds the query parameters of a request for a peer's head.
type headQuery struct {
	// from is the name of the VM that sends the query, and have its own head. A
	// peer with a lower head thereby learns of the higher one.
	from       string
	have       config.Head
	vmRevision vmRevision
	// wait is how long the peer may delay its response until it has a head
	// above have or a revision above vmRevision. Zero requests a response at
	// once.
	wait time.Duration
}

func (q headQuery) path() string {
	values := url.Values{
		"from":     {q.from},
		"version":  {strconv.FormatUint(q.have.Version, 10)},
		"hash":     {q.have.Hash.String()},
		"vms":      {strconv.FormatUint(q.vmRevision.number, 10)},
		"vm_epoch": {strconv.FormatUint(q.vmRevision.epoch, 10)},
		"wait":     {q.wait.String()},
	}
	return headPath + "?" + values.Encode()
}

func parseHeadQuery(values url.Values) (q headQuery, err error) {
	q.from = values.Get("from")
	if q.have.Version, err = strconv.ParseUint(values.Get("version"), 10, 64); err != nil {
		return q, fmt.Errorf("version: %w", err)
	}
	if err = q.have.Hash.UnmarshalText([]byte(values.Get("hash"))); err != nil {
		return q, err
	}
	if q.vmRevision, err = parseVMRevision(values.Get("vm_epoch"), values.Get("vms")); err != nil {
		return q, err
	}
	if q.wait, err = time.ParseDuration(values.Get("wait")); err != nil {
		return q, fmt.Errorf("wait: %w", err)
	}
	q.wait = min(max(q.wait, 0), peerWait)
	return q, nil
}

// parseVMRevision parses the query parameters of a revision. Peers of an earlier
// release send no epoch.
func parseVMRevision(epoch, number string) (r vmRevision, err error) {
	if r.number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return r, fmt.Errorf("revision of the list of VMs: %w", err)
	}
	if epoch != "" {
		if r.epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			return r, fmt.Errorf("epoch of the list of VMs: %w", err)
		}
	}
	return r, nil
}
