package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	flagBounced = 1
	flagSyn     = 2
	flagFin     = 4
	flagAck     = 8
	flagRst     = 32

	headSize = 34
	// sumKey is the key of the sum, known to clients and servers only.
	sumKey = 0x51f0a7c3
)

// packet is a datagram of a flow.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

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

func decode(b []byte) (*packet, bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[32:])) {
		return nil, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{flags: b[0], src: at(10, 14), dst: at(16, 8), seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]),
		sum: binary.BigEndian.Uint32(b[4:]), data: append([]byte(nil), b[headSize:]...)}, true
}

// sumOf returns the keyed sum over all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= flagBounced
	clear(c[1:8])
	clear(c[20:24])
	h := fnv.New32a()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, sumKey))
	_, _ = h.Write(c)
	return h.Sum32()
}

func (p *packet) valid(raw []byte) bool { return p.sum == sumOf(raw) }

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
