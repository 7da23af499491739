package keys

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"
)

// derivedLen is the length of derived keys, in bytes.
const derivedLen = 32

// ResetKey returns the key for the stateless reset tokens of a service. All
// agents of the service derive the same key, so an agent that replaced another
// at the same address can reset the connections of its predecessor.
func (s *Store) ResetKey(service uint32) [derivedLen]byte {
	return s.derive(fmt.Sprintf("trefoilweir stateless reset, service %d", service))
}

// TokenKey returns the key for QUIC address validation tokens. All agents of the
// cluster derive the same key, because later packets of a handshake may reach
// another agent than the first.
func (s *Store) TokenKey() [derivedLen]byte {
	return s.derive("trefoilweir address validation token")
}

func (s *Store) derive(info string) [derivedLen]byte {
	secret := s.current.Load().derivationKey
	key, err := hkdf.Key(sha256.New, secret, nil, info, derivedLen)
	if err != nil {
		// HKDF fails only for lengths over 255 hash sizes.
		panic(err)
	}
	return [derivedLen]byte(key)
}
