// Package flow has the types of the packet plane: the key of a flow, a decoded
// packet, and the codec that an adapter provides. A flow carries one connection
// between a caller and a target; the system forwards its packets unchanged.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the two ends that its caller sees.
type Key struct {
	// CallerIP and CallerPort are the caller's end.
	CallerIP   [4]byte
	CallerPort uint16
	// ServiceIP and ServicePort are the address that the route publishes.
	ServiceIP   [4]byte
	ServicePort uint16
}

// KeySize is the encoded size of a Key, in bytes.
const KeySize = 12

// Caller returns the caller's end.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.CallerIP), k.CallerPort)
}

// Service returns the address that the route publishes.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.ServiceIP), k.ServicePort)
}

// String returns both ends, for logs.
func (k Key) String() string { return k.Caller().String() + ">" + k.Service().String() }

// Append appends the encoded key.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.CallerIP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = append(b, k.ServiceIP[:]...)
	return binary.BigEndian.AppendUint16(b, k.ServicePort)
}

// ParseKey decodes the first KeySize bytes.
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

// Hash returns a hash of the key that all processes compute alike.
func (k Key) Hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.Append(b[:0]))
}

// Packet is a decoded packet of either direction.
type Packet struct {
	// Key is the same for both directions.
	Key Key
	// Open says that the packet asks for a new flow (caller) or accepts it
	// (target).
	Open bool
	// Final says that the sender sends nothing more.
	Final bool
	// Reset says that the flow is aborted.
	Reset bool
	// Returned says that the target did not take the packet.
	Returned bool
	// Seq is the sender's sequence number, Ack the one it has received up to.
	// Ack of a caller's opening packet counts its copies.
	Seq, Ack uint32
	// Len is the length of the data in bytes.
	Len int
	// Raw is the packet as it travels.
	Raw []byte
}

// Codec translates packets. An implementation is safe for concurrent use.
type Codec interface {
	// FromCaller decodes a packet sent by a caller, or returned by a target.
	FromCaller(raw []byte) (Packet, error)
	// FromTarget decodes a packet sent by a target. A returned packet is
	// decoded like the caller's packet that it is.
	FromTarget(raw []byte) (Packet, error)
	// Reset returns a packet that aborts a flow towards its caller.
	Reset(key Key, seq uint32) []byte
	// Clean returns the packet in the form in which its caller sent it.
	Clean(raw []byte) []byte
}
