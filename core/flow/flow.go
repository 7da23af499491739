// Package flow has the types of the packet plane: the key of a flow, a decoded
// packet, and the codec that an adapter provides. A flow carries one connection
// between a caller and a target. The system forwards its packets unchanged.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its two ends, as its caller sees them.
type Key struct {
	// CallerIP and CallerPort are the caller's address.
	CallerIP   [4]byte
	CallerPort uint16
	// ServiceIP and ServicePort are the address that the route publishes.
	ServiceIP   [4]byte
	ServicePort uint16
}

// KeySize is the encoded size of a Key, in bytes.
const KeySize = 12

// Caller returns the caller's address.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.CallerIP), k.CallerPort)
}

// Service returns the address that the route publishes.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.ServiceIP), k.ServicePort)
}

// String returns both addresses, for logs.
func (k Key) String() string { return k.Caller().String() + ">" + k.Service().String() }

// Append appends the encoded key to b.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.CallerIP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = append(b, k.ServiceIP[:]...)
	return binary.BigEndian.AppendUint16(b, k.ServicePort)
}

// ParseKey decodes a key from the first KeySize bytes of b.
func ParseKey(b []byte) (k Key, ok bool) {
	if len(b) < KeySize {
		return k, false
	}
	copy(k.CallerIP[:], b)
	k.CallerPort = binary.BigEndian.Uint16(b[4:])
	copy(k.ServiceIP[:], b[6:])
	k.ServicePort = binary.BigEndian.Uint16(b[10:])
	return k, true
}

// Hash returns a hash of the key. All processes compute the same value.
func (k Key) Hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.Append(b[:0]))
}

// Packet is a decoded packet of a flow, in either direction.
type Packet struct {
	// Key is the same for both directions.
	Key Key
	// Open is set if a caller asks for a new flow with the packet, or a target
	// accepts one.
	Open bool
	// Final is set if the sender sends no more data on the flow.
	Final bool
	// Reset is set if the packet aborts the flow.
	Reset bool
	// Returned is set on a caller's packet that the target sent back because it
	// did not accept it.
	Returned bool
	// Seq is the sender's sequence number. Ack is the sequence number up to
	// which it has received. In a caller's opening packet, Ack is instead the
	// number of earlier copies of the packet.
	Seq, Ack uint32
	// Len is the length of the data in bytes.
	Len int
	// Raw is the encoded packet.
	Raw []byte
}

// Codec decodes packets and encodes resets. An implementation is safe for
// concurrent use.
type Codec interface {
	// FromCaller decodes a packet that a caller sent or a target returned.
	FromCaller(raw []byte) (Packet, error)
	// FromTarget decodes a packet that a target sent. It decodes a returned
	// packet as the caller's packet that it contains.
	FromTarget(raw []byte) (Packet, error)
	// Reset returns an encoded packet that aborts a flow at its caller.
	Reset(key Key, seq uint32) []byte
	// Clean returns the packet as its caller sent it. It may modify raw.
	Clean(raw []byte) []byte
}
