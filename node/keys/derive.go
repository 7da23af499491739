package keys

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"
)

// derivedLen is the length of derived keys, in bytes.
const derivedLen = 32

// ResetKey returns the key for the stateless reset tokens of a service. Every
// agent of the service derives the same key, so an agent that replaced another
// at the same address can reset the connections of its predecessor.
func (s *Store) ResetKey(service uint32) [derivedLen]byte {
	return s.derive(fmt.Sprintf("trefoilweir stateless reset, service %d", service))
}

// TokenKey returns the key for QUIC address validation tokens. It is the same
// at every agent of the cluster, because the packets of a handshake may move to
// another agent.
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
