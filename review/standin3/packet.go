package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags and sizes of PROTOCOL.md, section "Packets".
const (
	flagBounced = 1
	flagSyn     = 2
	flagFin     = 4
	flagAck     = 8
	flagRst     = 32
	headSize    = 34
	maxData     = 1200
)

type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// encode returns the packet with its sum. Clients and servers write 0 into echo
// and pad.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[10:], src[:])
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// sumOf is a keyed sum over all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New64a()
	h.Write([]byte("review-3"))
	h.Write([]byte{b[0] &^ flagBounced})
	h.Write(b[8:20])
	h.Write(b[24:])
	return uint32(h.Sum64() >> 16)
}

func decode(b []byte) (*packet, bool) {
	if len(b) < headSize || len(b) > headSize+maxData || len(b) != headSize+int(binary.BigEndian.Uint16(b[32:])) {
		return nil, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		flags: b[0], src: address(10, 14), dst: address(16, 8), seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headSize:]...),
	}, true
}

// written reports whether the sum is that of a client or a server.
func written(b []byte) bool { return binary.BigEndian.Uint32(b[4:]) == sumOf(b) }

// isReset reports whether the packet is a reset of the system's own.
func isReset(b []byte, p *packet) bool {
	return p.flags == flagRst && binary.BigEndian.Uint32(b[4:]) == 0 && len(p.data) == 0
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
