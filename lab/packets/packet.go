// Package packets implements both ends of flows for the lab: callers and
// targets that speak the packet format of the users' platform, with handshake,
// acknowledgements and retransmission. It follows the published format and
// shares no code with the adapter that it tests.
//
// A flow is a connection from a caller to a target. It carries requests and
// their answers. Balancers and agents forward its packets.
package packets

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Flags of a packet.
const (
	Bounced = 1
	Syn     = 2
	Fin     = 4
	Ack     = 8
	Rst     = 32
)

const (
	headerSize = 34
	// MaxData is the maximum length of the data of a packet, in bytes.
	MaxData = 1200
	// sumSecret is combined with the checksum, so that only callers and targets
	// can compute it.
	sumSecret = 0x5eed_0f_1ab
)

// Packet is a decoded packet. Sum is its checksum.
type Packet struct {
	Flags    byte
	Src, Dst netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Sum      uint32
	Data     []byte
}

var errMalformed = errors.New("packets: malformed packet")

// Encode returns the encoded packet with its checksum.
func Encode(p *Packet) []byte {
	b := p.encode()
	binary.BigEndian.PutUint32(b[4:], sum(b))
	return b
}

func (p *Packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	b[0] = p.Flags
	binary.BigEndian.PutUint16(b[8:], p.Dst.Port())
	src, dst := p.Src.Addr().As4(), p.Dst.Addr().As4()
	copy(b[10:], src[:])
	binary.BigEndian.PutUint16(b[14:], p.Src.Port())
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint32(b[20:], p.Echo)
	binary.BigEndian.PutUint32(b[24:], p.Seq)
	binary.BigEndian.PutUint32(b[28:], p.Ack)
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.Data)))
	return append(b, p.Data...)
}

// sum returns the checksum of an encoded packet. It covers everything except
// the checksum itself, the padding, the echo and the flag Bounced.
func sum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= Bounced
	clear(c[1:8])
	clear(c[20:24])
	return uint32(xxhash.Sum64(c) ^ sumSecret)
}

// Decode decodes a packet. It checks the length but not the checksum.
func Decode(b []byte) (*Packet, error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[32:])) || len(b) > headerSize+MaxData {
		return nil, errMalformed
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:])), binary.BigEndian.Uint16(b[port:]))
	}
	return &Packet{
		Flags: b[0], Src: address(10, 14), Dst: address(16, 8), Echo: binary.BigEndian.Uint32(b[20:]),
		Seq: binary.BigEndian.Uint32(b[24:]), Ack: binary.BigEndian.Uint32(b[28:]), Sum: binary.BigEndian.Uint32(b[4:]),
		Data: append([]byte(nil), b[headerSize:]...),
	}, nil
}

// ChecksumValid reports whether the checksum matches raw, the encoded packet.
func (p *Packet) ChecksumValid(raw []byte) bool { return p.Sum == sum(raw) }

// Has reports whether a flag is set.
func (p *Packet) Has(flag byte) bool { return p.Flags&flag != 0 }
