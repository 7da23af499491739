// Package connid encodes and decodes routable QUIC connection IDs. The layout
// follows the QUIC load-balancer draft (draft-ietf-quic-load-balancers,
// single-pass encryption): one octet holds the key generation and the length,
// and one encrypted AES block holds the server ID and a nonce.
//
// The server ID holds the address of the agent. A balancer therefore routes an
// established flow without a lookup table and independently of its
// configuration version. The encryption gives no integrity. Code that calls
// Decode must check that the service is the one of the address at which the
// packet arrived, and that the agent address is in the configured agent
// networks.
//
// A key generation is the number of a key. During a key rotation, keys of two
// generations are loaded and IDs are issued with the active one.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

const (
	// Len is the length of a connection ID, in bytes.
	Len = 1 + aes.BlockSize
	// KeyLen is the length of a key, in bytes (AES-128).
	KeyLen = 16
	// MaxGeneration is the highest key generation. The draft reserves the
	// value 7 for unroutable IDs.
	MaxGeneration = 6

	generationShift = 5
	lengthMask      = 0x1f
)

// Errors returned by Decode. They are preallocated so that the forwarding path
// does not allocate.
var (
	ErrLength     = errors.New("connection ID has the wrong length")
	ErrGeneration = errors.New("connection ID has an unknown key generation")
)

// ID is the decoded content of a routable connection ID.
type ID struct {
	// Agent is the IPv4 datagram address of the agent that owns the flow.
	Agent netip.AddrPort
	// Service is the numeric ID of the service.
	Service uint32
	// Incarnation is the low 16 bits of the incarnation of the agent process,
	// a random number that each process chooses at its start.
	Incarnation uint16
	// Nonce distinguishes the IDs of one agent.
	Nonce uint32
}

// Codec encodes and decodes connection IDs. It decodes IDs of every loaded key
// generation and encodes with the active one. It is immutable and safe for
// concurrent use.
type Codec struct {
	blocks [MaxGeneration + 1]cipher.Block
	active uint8
}

// NewCodec returns a codec that holds keys and encodes with the active key
// generation.
func NewCodec(keys map[uint8][]byte, active uint8) (*Codec, error) {
	c := &Codec{active: active}
	for generation, key := range keys {
		if err := c.addKey(generation, key); err != nil {
			return nil, err
		}
	}
	if active > MaxGeneration || c.blocks[active] == nil {
		return nil, fmt.Errorf("active key generation %d has no key", active)
	}
	return c, nil
}

func (c *Codec) addKey(generation uint8, key []byte) error {
	if generation > MaxGeneration {
		return fmt.Errorf("key generation %d is over the maximum of %d", generation, MaxGeneration)
	}
	if len(key) != KeyLen {
		return fmt.Errorf("key generation %d: key has %d bytes, want %d", generation, len(key), KeyLen)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return fmt.Errorf("key generation %d: %w", generation, err)
	}
	c.blocks[generation] = block
	return nil
}

// Encode writes the encrypted connection ID to dst. It returns an error if the
// agent address is not IPv4.
func (c *Codec) Encode(dst *[Len]byte, id ID) error {
	addr := id.Agent.Addr().Unmap()
	if !addr.Is4() {
		return fmt.Errorf("agent address %s is not IPv4", id.Agent)
	}
	ip := addr.As4()
	dst[0] = c.active<<generationShift | (Len-1)&lengthMask
	block := dst[1:]
	copy(block, ip[:])
	binary.BigEndian.PutUint16(block[4:], id.Agent.Port())
	binary.BigEndian.PutUint32(block[6:], id.Service)
	binary.BigEndian.PutUint16(block[10:], id.Incarnation)
	binary.BigEndian.PutUint32(block[12:], id.Nonce)
	c.blocks[c.active].Encrypt(block, block)
	return nil
}

// Scratch is the buffer into which Decode decrypts. Each goroutine reuses one
// so that decoding does not allocate.
type Scratch [aes.BlockSize]byte

// Decode decrypts a connection ID. A nil error does not prove that this system
// issued the ID; see the package documentation.
func (c *Codec) Decode(cid []byte, scratch *Scratch) (ID, error) {
	if len(cid) != Len || cid[0]&lengthMask != Len-1 {
		return ID{}, ErrLength
	}
	generation := cid[0] >> generationShift
	if generation > MaxGeneration || c.blocks[generation] == nil {
		return ID{}, ErrGeneration
	}
	plain := scratch[:]
	c.blocks[generation].Decrypt(plain, cid[1:])
	return ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[:4])), binary.BigEndian.Uint16(plain[4:])),
		Service:     binary.BigEndian.Uint32(plain[6:]),
		Incarnation: binary.BigEndian.Uint16(plain[10:]),
		Nonce:       binary.BigEndian.Uint32(plain[12:]),
	}, nil
}
