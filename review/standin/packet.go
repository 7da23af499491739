package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagBounced = 1
	flagSyn     = 2
	flagFin     = 4
	flagAck     = 8
	flagRst     = 32
)

const (
	headerSize = 34
	maxData    = 1200
	// sumKey is known to the clients and the servers only.
	sumKey = 0x6b1d_93c5
)

// packet is a decoded packet. Sum 0 marks a reset of the system's own.
type packet struct {
	Flags    byte
	Src, Dst netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Sum      uint32
	Data     []byte
}

func (p *packet) has(flag byte) bool { return p.Flags&flag != 0 }

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	b[0] = p.Flags
	binary.BigEndian.PutUint16(b[8:], p.Dst.Port())
	src, dst := p.Src.Addr().As4(), p.Dst.Addr().As4()
	copy(b[10:], src[:])
	binary.BigEndian.PutUint16(b[14:], p.Src.Port())
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint32(b[24:], p.Seq)
	binary.BigEndian.PutUint32(b[28:], p.Ack)
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.Data)))
	b = append(b, p.Data...)
	binary.BigEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields except echo, pad, BOUNCED and the
// sum itself. It is never 0.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= flagBounced
	clear(c[1:8])
	clear(c[20:24])
	h := fnv.New32a()
	h.Write(binary.BigEndian.AppendUint32(nil, sumKey))
	h.Write(c)
	return h.Sum32() | 1
}

var errMalformed = errors.New("malformed packet")

func decode(b []byte) (*packet, error) {
	if len(b) < headerSize || len(b) > headerSize+maxData || len(b) != headerSize+int(binary.BigEndian.Uint16(b[32:])) {
		return nil, errMalformed
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		Flags: b[0], Src: address(10, 14), Dst: address(16, 8), Echo: binary.BigEndian.Uint32(b[20:]),
		Seq: binary.BigEndian.Uint32(b[24:]), Ack: binary.BigEndian.Uint32(b[28:]), Sum: binary.BigEndian.Uint32(b[4:]),
		Data: append([]byte(nil), b[headerSize:]...),
	}, nil
}

// authentic reports whether the sender knows the key.
func (p *packet) authentic(raw []byte) bool { return p.Sum == sumOf(raw) }

// flowKey identifies a flow by the addresses of its client's packets.
type flowKey struct{ client, route netip.AddrPort }
