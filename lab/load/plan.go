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

// shape describes the requests of a kind.
type shape struct {
	method string
	// share is the share of the kind in MixFull, in percent.
	share int
	// ticket says that the request carries an Idempotency-Key.
	ticket bool
	// answer and body are sizes in bytes.
	answer, body int64
	// pause is the time between the chunks of the body.
	pause time.Duration
}

// kinds lists the kinds in a fixed order, so that a seed gives one plan.
var kinds = []Kind{KindMap, KindHold, KindPayment, KindFile, KindUpload, KindSubmit}

var shapes = map[Kind]shape{
	KindMap:     {method: "GET", share: 60, answer: 4 << 10},
	KindHold:    {method: "POST", share: 12, ticket: true, answer: 512, body: 256},
	KindPayment: {method: "POST", share: 12, ticket: true, answer: 512, body: 512},
	KindFile:    {method: "GET", share: 6, answer: 256 << 10},
	KindUpload:  {method: "POST", share: 5, answer: 64, body: 64 << 10, pause: 30 * time.Millisecond},
	KindSubmit:  {method: "POST", share: 5, answer: 256, body: 1 << 10},
}

// planned is a request before it is sent.
type planned struct {
	id      string
	service int
	kind    Kind
	at      time.Duration
	uri     string
}

func (p *planned) shape() shape { return shapes[p.kind] }

// plan returns the requests of a run, in the order of their start.
func plan(o *Options) []planned {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	requests := make([]planned, o.Requests)
	at := 0.0
	for i := range requests {
		at += random.ExpFloat64() / o.Rate
		p := planned{service: pickService(random, o.Services), kind: pickKind(random, o.Mix)}
		p.at = time.Duration(at * float64(time.Second))
		p.id = fmt.Sprintf("%s-%d-%d", o.Services[p.service].Name, o.Seed, i)
		p.uri = fmt.Sprintf("/%s?work_ms=%.3f&bytes=%d", p.kind, random.ExpFloat64()*o.WorkMS, p.shape().answer)
		requests[i] = p
	}
	return requests
}

func pickService(random *rand.Rand, services []Service) int {
	total := 0
	for _, s := range services {
		total += s.Weight
	}
	n := random.IntN(total)
	for i, s := range services {
		if n -= s.Weight; n < 0 {
			return i
		}
	}
	return 0
}

func pickKind(random *rand.Rand, mix Mix) Kind {
	n := random.IntN(100)
	if mix == MixMap {
		return KindMap
	}
	for _, kind := range kinds {
		if n -= shapes[kind].share; n < 0 {
			return kind
		}
	}
	return KindMap
}
