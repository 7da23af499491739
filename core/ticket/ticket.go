// Package ticket makes a request run at most once, even if its caller repeats
// it through several agents. The idempotency key of such a request is a ticket.
//
//   - An identity is one incarnation (one run of the process) of an agent, for
//     one service. It issues tickets.
//   - The home of a ticket decides which attempt to run its request is granted.
//     It is the identity that issued the ticket, or the last successor that
//     adopted the ticket.
//   - A holder is an agent that has received the request. It sends the home a
//     Claim for permission to run an attempt, then a Complete or a Release.
//   - On a planned stop, a home freezes its table, and a successor adopts it.
//
// The package is pure: it has no clock and no I/O.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	// MinKeyLen is the minimum length of a ticket key, in bytes.
	MinKeyLen = 16
	// Len is the length of an encoded ticket, in characters.
	Len = (bodyLen + macLen) * 4 / 3

	macLen = 16
	// bodyLen is the sum of generation (1), address (16), port (2),
	// incarnation (8), service (4), issue time (8) and nonce (8), in bytes.
	bodyLen = 1 + 16 + 2 + 8 + 4 + 8 + 8
)

// Errors that Parse returns. Each means that the key is not a ticket of this
// system. The request is then refused with the verdict that it did not run.
var (
	ErrMalformed  = errors.New("key is not a ticket")
	ErrGeneration = errors.New("ticket has an unknown key generation")
	ErrMAC        = errors.New("ticket has an invalid authentication code")
)

// Ticket is the permission to run one request once.
type Ticket struct {
	// Address is the datagram address of the agent that issued the ticket.
	Address netip.AddrPort `cbor:"1,keyasint"`
	// Incarnation identifies the run of the agent that issued the ticket.
	Incarnation uint64 `cbor:"2,keyasint"`
	Service     uint32 `cbor:"3,keyasint"`
	// Issued is the issue time on the clock of the issuing process. Only that
	// process, and a successor that knows the clock difference, may compare it.
	Issued time.Duration `cbor:"4,keyasint"`
	// Nonce distinguishes tickets that an identity issues at the same time.
	Nonce uint64 `cbor:"5,keyasint"`
}

// Origin returns the identity that issued the ticket.
func (t Ticket) Origin() Identity {
	return Identity{Address: t.Address, Incarnation: t.Incarnation, Service: t.Service}
}

// Identity is an agent incarnation that issues the tickets of a service.
type Identity struct {
	Address     netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Service     uint32         `cbor:"3,keyasint"`
}

// Codec encodes and parses tickets. It accepts tickets of every loaded key
// generation and authenticates new tickets with the active one. It is immutable
// and safe for concurrent use.
type Codec struct {
	keys   map[uint8][]byte
	active uint8
}

// NewCodec returns a Codec for the given keys by generation. New tickets use
// the active key generation.
func NewCodec(keys map[uint8][]byte, active uint8) (*Codec, error) {
	c := &Codec{keys: make(map[uint8][]byte, len(keys)), active: active}
	for generation, key := range keys {
		if len(key) < MinKeyLen {
			return nil, fmt.Errorf("key generation %d: key has %d bytes, want at least %d", generation, len(key), MinKeyLen)
		}
		c.keys[generation] = append([]byte(nil), key...)
	}
	if c.keys[active] == nil {
		return nil, fmt.Errorf("active key generation %d has no key", active)
	}
	return c, nil
}

// Issue returns the encoded and authenticated form of a ticket.
func (c *Codec) Issue(t Ticket) string {
	b := make([]byte, 0, bodyLen+macLen)
	b = append(b, c.active)
	ip := t.Address.Addr().As16()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, t.Address.Port())
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint32(b, t.Service)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Issued))
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = append(b, c.mac(c.active, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Parse decodes a ticket and verifies its authentication code.
func (c *Codec) Parse(s string) (Ticket, error) {
	if len(s) != Len {
		return Ticket{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != bodyLen+macLen {
		return Ticket{}, ErrMalformed
	}
	if c.keys[b[0]] == nil {
		return Ticket{}, ErrGeneration
	}
	if !hmac.Equal(b[bodyLen:], c.mac(b[0], b[:bodyLen])) {
		return Ticket{}, ErrMAC
	}
	t := Ticket{
		Address:     netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[1:])).Unmap(), binary.BigEndian.Uint16(b[17:])),
		Incarnation: binary.BigEndian.Uint64(b[19:]),
		Service:     binary.BigEndian.Uint32(b[27:]),
		Issued:      time.Duration(binary.BigEndian.Uint64(b[31:])),
		Nonce:       binary.BigEndian.Uint64(b[39:]),
	}
	if t.Issued < 0 {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

func (c *Codec) mac(generation uint8, body []byte) []byte {
	h := hmac.New(sha256.New, c.keys[generation])
	h.Write(body)
	return h.Sum(nil)[:macLen]
}
