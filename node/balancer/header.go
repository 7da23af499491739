package balancer

import "encoding/binary"

const (
	// longHeaderBit distinguishes long from short headers (RFC 8999, 5).
	longHeaderBit = 0x80
	// versionLen and lengthLen are the sizes of header fields, in bytes.
	versionLen = 4
	lengthLen  = 1
	// longTypeMask selects the packet type of versions 1 and 2.
	longTypeMask = 0x30
	// version1 and version2 are the versions whose packet types are known
	// (RFC 9000, RFC 9369).
	version1 = 0x00000001
	version2 = 0x6b3343cf
	// minFirstDatagram is the least size of a datagram with an Initial packet
	// or with an unknown version that a server may answer (RFC 9000, 14.1 and
	// 6.1). Smaller ones are dropped before they cost an agent anything.
	minFirstDatagram = 1200
	// minFirstID and maxID bound a connection ID of versions 1 and 2 (RFC
	// 9000, 7.2 and 17.2).
	minFirstID = 8
	maxID      = 20
)

// packetType is what the invariant header and the type bits say.
type packetType uint8

const (
	// typeShort is a packet of an established connection.
	typeShort packetType = iota
	// typeInitial starts a connection.
	typeInitial
	// typeZeroRTT belongs to a first flight.
	typeZeroRTT
	// typeLong is any other long header of a known version.
	typeLong
	// typeUnknownVersion is a long header of another version.
	typeUnknownVersion
)

// packet is the part of a QUIC packet that a balancer looks at.
type packet struct {
	kind packetType
	// dcid is the destination connection ID. It aliases the datagram. Short
	// headers carry no length; every ID that the system issues has idLen
	// bytes.
	dcid []byte
}

// parsePacket reads the version-independent header of the first packet of a
// datagram (RFC 8999) and the type bits of known versions. It decrypts
// nothing. The result is reasonNone if the packet may be routed.
func parsePacket(b []byte, idLen int, p *packet) reason {
	if len(b) == 0 {
		return reasonShort
	}
	if b[0]&longHeaderBit == 0 {
		if len(b) < 1+idLen {
			return reasonShort
		}
		p.kind, p.dcid = typeShort, b[1:1+idLen]
		return reasonNone
	}
	return parseLong(b, p)
}

func parseLong(b []byte, p *packet) reason {
	const dcidOffset = 1 + versionLen + lengthLen
	if len(b) < dcidOffset {
		return reasonShort
	}
	version := binary.BigEndian.Uint32(b[1:])
	dcidEnd := dcidOffset + int(b[dcidOffset-1])
	if len(b) < dcidEnd+lengthLen {
		return reasonShort
	}
	if len(b) < dcidEnd+lengthLen+int(b[dcidEnd]) {
		return reasonShort
	}
	if version == 0 {
		return reasonVersionNegotiation
	}
	p.dcid = b[dcidOffset:dcidEnd]
	p.kind = longType(version, b[0])
	if p.kind != typeUnknownVersion && len(p.dcid) > maxID {
		return reasonIDLength
	}
	return reasonNone
}

func longType(version uint32, first byte) packetType {
	bits := first & longTypeMask >> 4
	switch version {
	case version1:
	case version2:
		// Version 2 numbers the same types one higher, modulo 4.
		bits = (bits + 3) & 3
	default:
		return typeUnknownVersion
	}
	switch bits {
	case 0:
		return typeInitial
	case 1:
		return typeZeroRTT
	}
	return typeLong
}

// checkFirst says whether a packet without a routable ID may start a flow.
func checkFirst(p *packet, datagram int) reason {
	switch p.kind {
	case typeInitial:
		if len(p.dcid) < minFirstID {
			return reasonIDLength
		}
		if datagram < minFirstDatagram {
			return reasonSmallFirst
		}
	case typeZeroRTT:
		if len(p.dcid) < minFirstID {
			return reasonIDLength
		}
	case typeUnknownVersion:
		if datagram < minFirstDatagram {
			return reasonSmallFirst
		}
	default:
		return reasonNotFirst
	}
	return reasonNone
}
