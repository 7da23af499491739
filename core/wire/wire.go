// Package wire encodes and authenticates the datagrams that balancers and
// agents send to each other. A datagram is a fixed 64-byte header followed by
// a payload. The header ends with an authentication tag, which is a SipHash of
// the rest of the header and the first 32 bytes of the payload. QUIC itself
// authenticates the QUIC packets in the payload.
//
// A caller is a client of a service. A balancer receives the caller's UDP
// datagrams and forwards them to an agent, which runs next to a target and
// terminates QUIC.
package wire

import (
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
)

const (
	// HeaderLen is the length of the header, in bytes.
	HeaderLen = 64
	// MaxDatagramLen is the size of receive buffers, in bytes. It leaves room
	// for the header and a caller's datagram, which has at most 1,452 bytes.
	MaxDatagramLen = 2048
	// KeyLen is the length of a datagram key, in bytes.
	KeyLen = 16

	version          = 1
	tagOffset        = 48
	tagLen           = 16
	taggedPayloadLen = 32
)

// Kind is the type of a datagram.
type Kind uint8

// The datagram kinds.
const (
	// Forward carries a caller's datagram to an agent.
	Forward Kind = 1
	// Return carries an agent's datagram to a balancer, which sends it to the
	// caller.
	Return Kind = 2
	// Ping requests a Pong with the same sequence number.
	Ping Kind = 3
	// Pong answers a Ping, or a Forward with FlagEcho.
	Pong Kind = 4
	// Control carries a CBOR message between agents.
	Control Kind = 5
)

// Flags is a set of datagram flags.
type Flags uint8

// The datagram flags.
const (
	// FlagLeaving is set while the sender performs a planned shutdown.
	FlagLeaving Flags = 1 << iota
	// FlagEcho requests a Pong from the receiver.
	FlagEcho
	// FlagFirst marks a packet without a routable connection ID.
	FlagFirst
	// FlagRedirected marks a FlagFirst packet that one agent forwarded to
	// another.
	FlagRedirected
)

// StateBits is a set of states of the sending agent.
type StateBits uint16

// The agent state bits.
const (
	// StateDraining is set while the agent accepts no new work.
	StateDraining StateBits = 1 << iota
	// StateCold is set during a cold start, while the agent raises the number
	// of usable slots step by step.
	StateCold
	// StateFull is set while the agent is at its connection limit.
	StateFull
)

// Header is the decoded header of a datagram.
type Header struct {
	Kind        Kind
	Flags       Flags
	Service     uint32
	Incarnation uint64
	Sequence    uint64
	// Caller is the address of the caller in Forward and Return datagrams and
	// the zero AddrPort in all others.
	Caller netip.AddrPort
	// Busy is the number of requests that occupy slots at the sending agent.
	Busy uint16
	// Waiting is the number of queued requests at the sending agent.
	Waiting uint16
	State   StateBits
}

// Errors returned by Open. They are preallocated so that the forwarding path
// does not allocate.
var (
	ErrShort      = errors.New("datagram is shorter than its header")
	ErrVersion    = errors.New("datagram has an unknown version")
	ErrGeneration = errors.New("datagram has an unknown key generation")
	ErrTag        = errors.New("datagram has an invalid authentication tag")
	ErrKind       = errors.New("datagram has an unknown kind")
)

type key struct {
	k0, k1 uint64
	loaded bool
}

// Codec authenticates, encodes and decodes datagrams. It is immutable and safe
// for concurrent use.
type Codec struct {
	keys   [256]key
	active uint8
}

// NewCodec returns a codec that seals with the active key generation and
// opens with any generation in keys.
func NewCodec(keys map[uint8][]byte, active uint8) (*Codec, error) {
	c := &Codec{active: active}
	for generation, k := range keys {
		if len(k) != KeyLen {
			return nil, fmt.Errorf("key generation %d: key has %d bytes, want %d", generation, len(k), KeyLen)
		}
		c.keys[generation] = key{binary.BigEndian.Uint64(k), binary.BigEndian.Uint64(k[8:]), true}
	}
	if !c.keys[active].loaded {
		return nil, fmt.Errorf("active key generation %d has no key", active)
	}
	return c, nil
}

// Seal writes the header h and its tag to buf. The payload must already be in
// buf[HeaderLen:]. Seal panics if buf is shorter than HeaderLen.
func (c *Codec) Seal(buf []byte, h *Header) {
	_ = buf[HeaderLen-1]
	buf[0], buf[1], buf[2], buf[3] = version, byte(h.Kind), c.active, byte(h.Flags)
	binary.BigEndian.PutUint32(buf[4:], h.Service)
	binary.BigEndian.PutUint64(buf[8:], h.Incarnation)
	binary.BigEndian.PutUint64(buf[16:], h.Sequence)
	ip := h.Caller.Addr().As16()
	copy(buf[24:40], ip[:])
	binary.BigEndian.PutUint16(buf[40:], h.Caller.Port())
	binary.BigEndian.PutUint16(buf[42:], h.Busy)
	binary.BigEndian.PutUint16(buf[44:], h.Waiting)
	binary.BigEndian.PutUint16(buf[46:], uint16(h.State))
	hi, lo := c.tag(c.active, buf)
	binary.BigEndian.PutUint64(buf[tagOffset:], hi)
	binary.BigEndian.PutUint64(buf[tagOffset+8:], lo)
}

// Open verifies a datagram and decodes its header into h. The payload is
// buf[HeaderLen:]. If Open returns an error, h is unchanged.
func (c *Codec) Open(buf []byte, h *Header) error {
	if len(buf) < HeaderLen {
		return ErrShort
	}
	if buf[0] != version {
		return ErrVersion
	}
	if !c.keys[buf[2]].loaded {
		return ErrGeneration
	}
	hi, lo := c.tag(buf[2], buf)
	if !tagEqual(buf[tagOffset:tagOffset+tagLen], hi, lo) {
		return ErrTag
	}
	kind := Kind(buf[1])
	if kind < Forward || kind > Control {
		return ErrKind
	}
	h.Kind = kind
	h.Flags = Flags(buf[3])
	h.Service = binary.BigEndian.Uint32(buf[4:])
	h.Incarnation = binary.BigEndian.Uint64(buf[8:])
	h.Sequence = binary.BigEndian.Uint64(buf[16:])
	h.Caller = decodeCaller(buf[24:42])
	h.Busy = binary.BigEndian.Uint16(buf[42:])
	h.Waiting = binary.BigEndian.Uint16(buf[44:])
	h.State = StateBits(binary.BigEndian.Uint16(buf[46:]))
	return nil
}

// decodeCaller decodes the caller's address. A field of zeros, as Seal writes
// it for the zero AddrPort, decodes to the zero AddrPort and not to the
// unspecified address.
func decodeCaller(field []byte) netip.AddrPort {
	addr := netip.AddrFrom16([16]byte(field)).Unmap()
	port := binary.BigEndian.Uint16(field[16:])
	if addr.IsUnspecified() && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr, port)
}

// tag hashes the header without its tag and the first taggedPayloadLen bytes
// of the payload. This ties the tag to the payload at a fixed cost.
func (c *Codec) tag(generation uint8, buf []byte) (hi, lo uint64) {
	var input [tagOffset + taggedPayloadLen]byte
	n := copy(input[:], buf[:tagOffset])
	n += copy(input[n:], buf[HeaderLen:])
	k := &c.keys[generation]
	return siphash.Hash128(k.k0, k.k1, input[:n])
}

func tagEqual(got []byte, hi, lo uint64) bool {
	diff := binary.BigEndian.Uint64(got) ^ hi
	diff |= binary.BigEndian.Uint64(got[8:]) ^ lo
	return subtle.ConstantTimeEq(int32(uint32(diff)|uint32(diff>>32)), 0) == 1
}
