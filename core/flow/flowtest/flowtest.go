// Package flowtest provides a flow.Codec with a simple format for tests.
package flowtest

import (
	"encoding/binary"
	"errors"

	"trefoilweir.example/core/flow"
)

const (
	bitOpen = 1 << iota
	bitFinal
	bitReset
	bitReturned
)

const headerSize = 1 + flow.KeySize + 8

// Codec implements flow.Codec. The data of a packet follows its header.
type Codec struct{}

var errShort = errors.New("flowtest: short packet")

// Encode encodes a packet in the codec's format, with p.Len zero bytes as its
// data.
func Encode(p flow.Packet) []byte {
	flags := byte(0)
	for bit, set := range map[byte]bool{bitOpen: p.Open, bitFinal: p.Final, bitReset: p.Reset, bitReturned: p.Returned} {
		if set {
			flags |= bit
		}
	}
	raw := p.Key.Append([]byte{flags})
	raw = binary.BigEndian.AppendUint32(raw, p.Seq)
	raw = binary.BigEndian.AppendUint32(raw, p.Ack)
	return append(raw, make([]byte, p.Len)...)
}

// FromCaller implements flow.Codec.
func (Codec) FromCaller(raw []byte) (flow.Packet, error) {
	if len(raw) < headerSize {
		return flow.Packet{}, errShort
	}
	key, _ := flow.ParseKey(raw[1:])
	rest := raw[1+flow.KeySize:]
	return flow.Packet{
		Key: key, Open: raw[0]&bitOpen != 0, Final: raw[0]&bitFinal != 0, Reset: raw[0]&bitReset != 0, Returned: raw[0]&bitReturned != 0,
		Seq: binary.BigEndian.Uint32(rest), Ack: binary.BigEndian.Uint32(rest[4:]), Len: len(raw) - headerSize, Raw: raw,
	}, nil
}

// FromTarget implements flow.Codec.
func (c Codec) FromTarget(raw []byte) (flow.Packet, error) { return c.FromCaller(raw) }

// Reset implements flow.Codec.
func (Codec) Reset(key flow.Key, seq uint32) []byte {
	return Encode(flow.Packet{Key: key, Reset: true, Seq: seq})
}

// Clean implements flow.Codec.
func (Codec) Clean(raw []byte) []byte {
	raw[0] &^= bitReturned
	return raw
}
