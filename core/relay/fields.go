package relay

import (
	"encoding/binary"
	"net/netip"

	"trefoilweir.example/core/fleet"
)

func appendProgress(b []byte, p fleet.Progress) []byte {
	for _, field := range [...]uint64{p.Epoch, p.Revision, p.Version} {
		b = binary.AppendUvarint(b, field)
	}
	return b
}

// parseProgress returns a progress and the bytes after it. It accepts only the
// shortest encoding, so that each message has one encoding.
func parseProgress(b []byte) (p fleet.Progress, rest []byte, ok bool) {
	for _, field := range [...]*uint64{&p.Epoch, &p.Revision, &p.Version} {
		n := 0
		if *field, n = binary.Uvarint(b); n <= 0 || n > 1 && b[n-1] == 0 {
			return p, nil, false
		}
		b = b[n:]
	}
	return p, b, true
}

// appendAddrs appends the length of a list and its addresses, at most
// MaxListedAgents.
func appendAddrs(b []byte, list []netip.Addr) []byte {
	list = list[:min(len(list), MaxListedAgents)]
	b = append(b, byte(len(list)))
	for _, a := range list {
		b = appendAddr(b, a)
	}
	return b
}

func parseAddrs(b []byte) (list []netip.Addr, rest []byte, ok bool) {
	if len(b) == 0 || b[0] > MaxListedAgents || len(b) < 1+int(b[0])*addrSize {
		return nil, nil, false
	}
	n, rest := int(b[0]), b[1:]
	for range n {
		list, rest = append(list, parseAddr(rest)), rest[addrSize:]
	}
	return list, rest, true
}

// appendTags appends the length of a list and its service tags, at most
// MaxDeniedServices.
func appendTags(b []byte, tags []uint64) []byte {
	tags = tags[:min(len(tags), MaxDeniedServices)]
	b = append(b, byte(len(tags)))
	for _, tag := range tags {
		b = binary.BigEndian.AppendUint64(b, tag)
	}
	return b
}

func parseTags(b []byte) (tags []uint64, rest []byte, ok bool) {
	if len(b) == 0 || b[0] > MaxDeniedServices || len(b) < 1+int(b[0])*tagSize {
		return nil, nil, false
	}
	n, rest := int(b[0]), b[1:]
	for range n {
		tags, rest = append(tags, binary.BigEndian.Uint64(rest)), rest[tagSize:]
	}
	return tags, rest, true
}

func appendAddr(b []byte, a netip.Addr) []byte {
	if !a.Is4() {
		return append(b, 0, 0, 0, 0)
	}
	ip := a.As4()
	return append(b, ip[:]...)
}

func parseAddr(b []byte) netip.Addr {
	ip := [4]byte(b)
	if ip == [4]byte{} {
		return netip.Addr{}
	}
	return netip.AddrFrom4(ip)
}
