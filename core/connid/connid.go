// Package connid encodes and decodes routable QUIC connection IDs. The layout
// is that of the QUIC load-balancer draft (draft-ietf-quic-load-balancers,
// single-pass encryption): one octet with the key generation and the length,
// then one AES block that holds the server ID and a nonce.
//
// The server ID is the address of the agent, so a balancer routes an
// established flow without a lookup table and without depending on its
// configuration version. AES gives no integrity: the caller of Decode must
// compare the service with that of the address the packet arrived at, and the
// agent address with the configured agent networks.
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
	// value 7 for IDs that are not routable.
	MaxGeneration = 6

	generationShift = 5
	lengthMask      = 0x1f
)

// Errors that Decode returns. They are fixed values, so that the forwarding
// path does not allocate.
var (
	ErrLength     = errors.New("connection ID has the wrong length")
	ErrGeneration = errors.New("connection ID has an unknown key generation")
)

// ID is the content of a routable connection ID.
type ID struct {
	// Agent is the IPv4 datagram address of the agent that owns the flow.
	Agent netip.AddrPort
	// Service is the numeric ID of the service.
	Service uint32
	// Incarnation is the low 16 bits of the incarnation of the agent process.
	Incarnation uint16
	// Nonce makes the IDs of one agent differ.
	Nonce uint32
}

// Codec encrypts and decrypts connection IDs. It accepts every loaded key
// generation and issues with the active one. It is immutable and safe for
// concurrent use.
type Codec struct {
	blocks [MaxGeneration + 1]cipher.Block
	active uint8
}

// NewCodec returns a codec that issues IDs with the given active generation.
func NewCodec(keys map[uint8][]byte, active uint8) (*Codec, error) {
	c := &Codec{active: active}
	for generation, key := range keys {
		if err := c.add(generation, key); err != nil {
			return nil, err
		}
	}
	if active > MaxGeneration || c.blocks[active] == nil {
		return nil, fmt.Errorf("active generation %d has no key", active)
	}
	return c, nil
}

func (c *Codec) add(generation uint8, key []byte) error {
	if generation > MaxGeneration {
		return fmt.Errorf("generation %d is over %d", generation, MaxGeneration)
	}
	if len(key) != KeyLen {
		return fmt.Errorf("generation %d: key has %d bytes, want %d", generation, len(key), KeyLen)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return fmt.Errorf("generation %d: %w", generation, err)
	}
	c.blocks[generation] = block
	return nil
}

// Encode writes the connection ID to dst. It fails if the agent address is
// not IPv4.
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

// Scratch is working memory for Decode. Reuse one per goroutine, so that
// decoding does not allocate.
type Scratch [aes.BlockSize]byte

// Decode decrypts a connection ID. A result without error is not proof that
// the ID was issued by this system; see the package comment.
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
