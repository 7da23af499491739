package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	KindMap     Kind = "map"
	KindHold    Kind = "hold"
	KindPayment Kind = "payment"
	KindFile    Kind = "file"
	KindUpload  Kind = "upload"
	KindSubmit  Kind = "submit"
	KindTicker  Kind = "ticker"
)

// shape holds the parameters of the requests of a kind.
type shape struct {
	method string
	// sharePercent is the share of the kind in MixFull.
	sharePercent int
	// usesTicket reports whether the request carries an Idempotency-Key.
	usesTicket bool
	// answerSize and bodySize are in bytes.
	answerSize, bodySize int64
	// chunkPause is the time between the chunks of the body.
	chunkPause time.Duration
}

// kinds lists the kinds in a fixed order, so that a seed determines the plan.
var kinds = []Kind{KindMap, KindHold, KindPayment, KindFile, KindUpload, KindSubmit}

var shapes = map[Kind]shape{
	KindMap:     {method: "GET", sharePercent: 60, answerSize: 4 << 10},
	KindHold:    {method: "POST", sharePercent: 12, usesTicket: true, answerSize: 512, bodySize: 256},
	KindPayment: {method: "POST", sharePercent: 12, usesTicket: true, answerSize: 512, bodySize: 512},
	KindFile:    {method: "GET", sharePercent: 6, answerSize: 256 << 10},
	KindUpload:  {method: "POST", sharePercent: 5, answerSize: 64, bodySize: 64 << 10, chunkPause: 30 * time.Millisecond},
	KindSubmit:  {method: "POST", sharePercent: 5, answerSize: 256, bodySize: 1 << 10},
}

// plannedRequest is a request that is scheduled at an offset from the start of
// the sessions.
type plannedRequest struct {
	id           string
	serviceIndex int
	kind         Kind
	offset       time.Duration
	uri          string
}

func (p *plannedRequest) shape() shape { return shapes[p.kind] }

// plan returns the requests of a run in the order of their offsets.
func plan(o *Options) []plannedRequest {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	requests := make([]plannedRequest, o.Requests)
	at := 0.0
	for i := range requests {
		at += rng.ExpFloat64() / o.Rate
		p := plannedRequest{serviceIndex: pickService(rng, o.Services), kind: pickKind(rng, o.Mix)}
		p.offset = time.Duration(at * float64(time.Second))
		p.id = fmt.Sprintf("%s-%d-%d", o.Services[p.serviceIndex].Name, o.Seed, i)
		p.uri = fmt.Sprintf("/%s?work_ms=%.3f&bytes=%d", p.kind, rng.ExpFloat64()*o.WorkMS, p.shape().answerSize)
		requests[i] = p
	}
	return requests
}

func pickService(rng *rand.Rand, services []Service) int {
	total := 0
	for _, s := range services {
		total += s.Weight
	}
	n := rng.IntN(total)
	for i, s := range services {
		if n -= s.Weight; n < 0 {
			return i
		}
	}
	return 0
}

func pickKind(rng *rand.Rand, mix Mix) Kind {
	n := rng.IntN(100)
	if mix == MixMap {
		return KindMap
	}
	for _, kind := range kinds {
		if n -= shapes[kind].sharePercent; n < 0 {
			return kind
		}
	}
	return KindMap
}
