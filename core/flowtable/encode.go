package flowtable

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"trefoilweir.example/core/flow"
)

// Format is the format of encoded messages. It changes only if a decoder of the
// format before would misread a message. Fields that a decoder does not know are
// ignored, so a field may be added without a new format.
const Format = 1

// Errors of a message that cannot be used.
var (
	ErrFormat   = errors.New("format is not supported")
	ErrTooLarge = errors.New("flow table is too large")
)

// Bits of wireFlow.Bits and wireProbes.Bits.
const (
	bitAccepted = 1 << iota
	bitOpened
	bitBusy
	bitCallerClosed
	bitTargetClosed
	bitBaseKnown
	bitCallerTopKnown
	bitOpenSeqKnown
)

const (
	bitDenied = 1 << iota
	bitDoubted
)

// wireTable is the encoded form of a Table. Times are in milliseconds.
type wireTable struct {
	Format            uint64         `cbor:"1,keyasint"`
	Agent             netip.Addr     `cbor:"2,keyasint"`
	Run               uint64         `cbor:"3,keyasint"`
	Target            netip.AddrPort `cbor:"4,keyasint"`
	TargetStartUnixMS int64          `cbor:"5,keyasint"`
	DoubtForMS        int64          `cbor:"6,keyasint,omitempty"`
	DoubtLeftMS       int64          `cbor:"7,keyasint,omitempty"`
	Flows             []wireFlow     `cbor:"8,keyasint"`
	Probes            []wireProbes   `cbor:"9,keyasint,omitempty"`
	EarlierRuns       []uint64       `cbor:"10,keyasint,omitempty"`
}

// wireHeader has the fields of a wireTable that a keeper needs.
type wireHeader struct {
	Format      uint64     `cbor:"1,keyasint"`
	Agent       netip.Addr `cbor:"2,keyasint"`
	Run         uint64     `cbor:"3,keyasint"`
	EarlierRuns []uint64   `cbor:"10,keyasint,omitempty"`
}

type wireFlow struct {
	Key       []byte     `cbor:"1,keyasint"`
	Bits      uint64     `cbor:"2,keyasint"`
	Base      uint32     `cbor:"3,keyasint,omitempty"`
	Top       uint32     `cbor:"4,keyasint,omitempty"`
	CallerTop uint32     `cbor:"5,keyasint,omitempty"`
	OpenSeq   uint32     `cbor:"6,keyasint,omitempty"`
	SeenMS    int64      `cbor:"7,keyasint,omitempty"`
	Origin    netip.Addr `cbor:"8,keyasint,omitzero"`
	Home      netip.Addr `cbor:"9,keyasint,omitzero"`
}

type wireProbes struct {
	Key       []byte  `cbor:"1,keyasint"`
	Bits      uint64  `cbor:"2,keyasint,omitempty"`
	AgesMS    []int64 `cbor:"3,keyasint,omitempty"`
	DoubtedMS int64   `cbor:"4,keyasint,omitempty"`
}

// wireEntry carries a table with the time since its export.
type wireEntry struct {
	Format uint64 `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	Table  []byte `cbor:"3,keyasint"`
}

// wireAnswer answers a claim.
type wireAnswer struct {
	Format uint64   `cbor:"1,keyasint"`
	Runs   []uint64 `cbor:"2,keyasint,omitempty"`
	AgeMS  int64    `cbor:"3,keyasint,omitempty"`
	Table  []byte   `cbor:"4,keyasint,omitempty"`
}

// decoder bounds the number of elements, so that a message cannot cost more
// memory than a table may.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxFlows, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

func bits(flags ...bool) (b uint64) {
	for i, set := range flags {
		if set {
			b |= 1 << i
		}
	}
	return b
}

func toMS(d time.Duration) int64 { return max(0, d.Milliseconds()) }

func fromMS(ms int64) time.Duration {
	const most = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(0, ms), most)) * time.Millisecond
}

func marshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // The encoded types have no value that cannot be encoded.
	}
	return b
}

// Encode returns the encoded table.
func (t *Table) Encode() ([]byte, error) {
	if len(t.Flows) > MaxFlows || len(t.Probes) > MaxFlows {
		return nil, ErrTooLarge
	}
	w := wireTable{Format: Format, Agent: t.Agent, Run: t.Run, Target: t.Target, TargetStartUnixMS: t.TargetStartUnixMS,
		EarlierRuns: t.EarlierRuns, DoubtForMS: toMS(t.DoubtFor), DoubtLeftMS: toMS(t.DoubtLeft), Flows: make([]wireFlow, 0, len(t.Flows)), Probes: make([]wireProbes, 0, len(t.Probes))}
	for i := range t.Flows {
		f := &t.Flows[i]
		w.Flows = append(w.Flows, wireFlow{Key: f.Key.Append(nil), Base: f.Base, Top: f.Top, CallerTop: f.CallerTop, OpenSeq: f.OpenSeq, SeenMS: toMS(f.SinceSeen),
			Origin: f.Origin, Home: f.Home,
			Bits: bits(f.Accepted, f.Opened, f.Busy, f.CallerClosed, f.TargetClosed, f.BaseKnown, f.CallerTopKnown, f.OpenSeqKnown)})
	}
	for i := range t.Probes {
		p := &t.Probes[i]
		x := wireProbes{Key: p.Key.Append(nil), Bits: bits(p.Denied, p.Doubted), DoubtedMS: toMS(p.SinceDoubted)}
		for _, age := range p.Ages {
			x.AgesMS = append(x.AgesMS, toMS(age))
		}
		w.Probes = append(w.Probes, x)
	}
	b := marshal(&w)
	if len(b) > MaxTableBytes {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Decode decodes a table. A part of a table is an error.
func Decode(b []byte) (*Table, error) {
	var w wireTable
	if err := unmarshal(b, &w, &w.Format); err != nil {
		return nil, err
	}
	if !w.Agent.IsValid() || !w.Target.IsValid() {
		return nil, errors.New("flow table has no agent or no target")
	}
	t := &Table{Agent: w.Agent, Run: w.Run, Target: w.Target, TargetStartUnixMS: w.TargetStartUnixMS, EarlierRuns: w.EarlierRuns, DoubtFor: fromMS(w.DoubtForMS), DoubtLeft: fromMS(w.DoubtLeftMS),
		Flows: make([]Flow, 0, len(w.Flows)), Probes: make([]Probes, 0, len(w.Probes))}
	for i := range w.Flows {
		f := &w.Flows[i]
		key, ok := flow.ParseKey(f.Key)
		if !ok {
			return nil, errors.New("flow table has an invalid flow key")
		}
		has := func(bit uint64) bool { return f.Bits&bit != 0 }
		t.Flows = append(t.Flows, Flow{Key: key, Accepted: has(bitAccepted), Opened: has(bitOpened), Busy: has(bitBusy), CallerClosed: has(bitCallerClosed),
			TargetClosed: has(bitTargetClosed), BaseKnown: has(bitBaseKnown), Base: f.Base, Top: f.Top, CallerTopKnown: has(bitCallerTopKnown), CallerTop: f.CallerTop,
			OpenSeqKnown: has(bitOpenSeqKnown), OpenSeq: f.OpenSeq, SinceSeen: fromMS(f.SeenMS), Origin: f.Origin, Home: f.Home})
	}
	for i := range w.Probes {
		p := &w.Probes[i]
		key, ok := flow.ParseKey(p.Key)
		if !ok {
			return nil, errors.New("flow table has an invalid flow key")
		}
		x := Probes{Key: key, Denied: p.Bits&bitDenied != 0, Doubted: p.Bits&bitDoubted != 0, SinceDoubted: fromMS(p.DoubtedMS)}
		for _, age := range p.AgesMS {
			x.Ages = append(x.Ages, fromMS(age))
		}
		t.Probes = append(t.Probes, x)
	}
	return t, nil
}

// unmarshal decodes a message and checks its format.
func unmarshal(b []byte, to any, format *uint64) error {
	if err := decoder.Unmarshal(b, to); err != nil {
		return fmt.Errorf("cannot decode a flow table: %w", err)
	}
	if *format != Format {
		return fmt.Errorf("%w: %d", ErrFormat, *format)
	}
	return nil
}

// Entry is an encoded table with the time since its export.
type Entry struct {
	Age   time.Duration
	Table []byte
}

// Encode returns the encoded entry.
func (e *Entry) Encode() []byte {
	return marshal(&wireEntry{Format: Format, AgeMS: toMS(e.Age), Table: e.Table})
}

// DecodeEntry decodes an entry.
func DecodeEntry(b []byte) (*Entry, error) {
	var w wireEntry
	if err := unmarshal(b, &w, &w.Format); err != nil {
		return nil, err
	}
	return &Entry{Age: fromMS(w.AgeMS), Table: w.Table}, nil
}

// Answer is a keeper's answer to a claim.
type Answer struct {
	// Runs has the other runs of the agent that the keeper knows of.
	Runs []uint64
	// Table is the encoded table, or nil if the keeper has none for the claiming
	// run. Age is the time since its export.
	Table []byte
	Age   time.Duration
}

// Encode returns the encoded answer.
func (a *Answer) Encode() []byte {
	return marshal(&wireAnswer{Format: Format, Runs: a.Runs, AgeMS: toMS(a.Age), Table: a.Table})
}

// DecodeAnswer decodes an answer.
func DecodeAnswer(b []byte) (*Answer, error) {
	var w wireAnswer
	if err := unmarshal(b, &w, &w.Format); err != nil {
		return nil, err
	}
	return &Answer{Runs: w.Runs, Table: w.Table, Age: fromMS(w.AgeMS)}, nil
}
