// Package keys reads the cluster's keys file and holds the keys that are in
// force. The file holds keys for three purposes: connection IDs, datagrams and
// tickets. Each purpose has one or more numbered key generations. A process
// issues with the active key generation and accepts every one in the file,
// so that keys can be rotated.
package keys

import (
	"bytes"
	"encoding/json"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"

	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/ticket"
	"trefoilweir.example/core/wire"
)

// Store holds the keys that are in force. It is safe for concurrent use.
type Store struct {
	path    string
	current atomic.Pointer[keySet]
}

// keySet is the content of one keys file. It is immutable.
type keySet struct {
	connID *connid.Codec
	wire   *wire.Codec
	ticket *ticket.Codec
	// derivationKey is the active connection ID key. Reset keys and token
	// keys are derived from it.
	derivationKey []byte
}

// generations are the keys of one purpose, by generation number.
type generations struct {
	// active is the generation that the process issues with.
	active uint8
	keys   map[uint8][]byte
}

// Open returns a Store with the keys of the file at path.
func Open(path string) (*Store, error) {
	s := &Store{path: path}
	if err := s.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Reload reads the keys file again. On an error, the previous keys stay in
// force.
func (s *Store) Reload() error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	set, err := parse(data)
	if err != nil {
		return trace.Wrap(err, "keys file %s", s.path)
	}
	s.current.Store(set)
	return nil
}

// ConnIDCodec returns the codec for connection IDs.
func (s *Store) ConnIDCodec() *connid.Codec { return s.current.Load().connID }

// WireCodec returns the codec for authenticated datagrams.
func (s *Store) WireCodec() *wire.Codec { return s.current.Load().wire }

// TicketCodec returns the codec for tickets.
func (s *Store) TicketCodec() *ticket.Codec { return s.current.Load().ticket }

func parse(data []byte) (*keySet, error) {
	var file fileContent
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, trace.BadParameter("not a valid keys file: %v", err)
	}
	connIDKeys, err1 := file.ConnID.parse("connid", connid.MaxGeneration, connid.KeyLen)
	wireKeys, err2 := file.Datagram.parse("datagram", maxGeneration, wire.KeyLen)
	ticketKeys, err3 := file.Ticket.parse("ticket", maxGeneration, ticketKeyLen)
	if err := trace.NewAggregate(err1, err2, err3); err != nil {
		return nil, err
	}
	return newKeySet(connIDKeys, wireKeys, ticketKeys)
}

func newKeySet(connIDKeys, wireKeys, ticketKeys generations) (*keySet, error) {
	connIDCodec, err := connid.NewCodec(connIDKeys.keys, connIDKeys.active)
	if err != nil {
		return nil, trace.BadParameter("connid: %v", err)
	}
	wireCodec, err := wire.NewCodec(wireKeys.keys, wireKeys.active)
	if err != nil {
		return nil, trace.BadParameter("datagram: %v", err)
	}
	ticketCodec, err := ticket.NewCodec(ticketKeys.keys, ticketKeys.active)
	if err != nil {
		return nil, trace.BadParameter("ticket: %v", err)
	}
	return &keySet{
		connID:        connIDCodec,
		wire:          wireCodec,
		ticket:        ticketCodec,
		derivationKey: connIDKeys.keys[connIDKeys.active],
	}, nil
}
