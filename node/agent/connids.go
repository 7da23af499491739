package agent

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"trefoilweir.example/core/connid"
	"trefoilweir.example/node/keys"
)

// connIDGenerator issues connection IDs that route packets to this agent.
type connIDGenerator struct {
	keys        *keys.Store
	agent       netip.AddrPort
	service     uint32
	incarnation uint16
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var nonce [4]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return quic.ConnectionID{}, trace.Wrap(err)
	}
	var id [connid.Len]byte
	err := g.keys.ConnIDCodec().Encode(&id, connid.ID{
		Agent:       g.agent,
		Service:     g.service,
		Incarnation: g.incarnation,
		Nonce:       binary.BigEndian.Uint32(nonce[:]),
	})
	if err != nil {
		return quic.ConnectionID{}, trace.Wrap(err)
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) ConnectionIDLen() int { return connid.Len }

// longHeaderBit marks QUIC packets with a long header.
const longHeaderBit = 0x80

// destinationID returns the destination connection ID of a QUIC packet and
// whether the packet has a long header. The layout is the same in all QUIC
// versions (RFC 8999).
func destinationID(packet []byte) (id []byte, long, ok bool) {
	if len(packet) == 0 {
		return nil, false, false
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+connid.Len {
			return nil, false, false
		}
		return packet[1 : 1+connid.Len], false, true
	}
	const lengthOffset = 1 + 4
	if len(packet) <= lengthOffset {
		return nil, true, false
	}
	end := lengthOffset + 1 + int(packet[lengthOffset])
	if len(packet) < end {
		return nil, true, false
	}
	return packet[lengthOffset+1 : end], true, true
}
