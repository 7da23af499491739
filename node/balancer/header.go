package balancer

import "encoding/binary"

const (
	// longHeaderBit is set in long headers (RFC 8999, 5).
	longHeaderBit = 0x80
	// versionLen and lengthLen are the sizes of the version field and of a
	// connection ID's length field, in bytes.
	versionLen = 4
	lengthLen  = 1
	// longTypeMask selects the packet type of versions 1 and 2.
	longTypeMask = 0x30
	// version1 and version2 are the QUIC versions whose packet types are known
	// (RFC 9000, RFC 9369).
	version1 = 0x00000001
	version2 = 0x6b3343cf
	// minFirstDatagramLen is the minimum size, in bytes, of a datagram with an
	// Initial packet or an unknown version that a server may answer (RFC 9000,
	// 14.1 and 6.1). Smaller datagrams are dropped, so that they cause no work
	// at an agent.
	minFirstDatagramLen = 1200
	// minFirstIDLen is the minimum length of the destination connection ID in a
	// client's first packet, and maxIDLen the maximum length of any connection
	// ID, in versions 1 and 2 (RFC 9000, 7.2 and 17.2).
	minFirstIDLen = 8
	maxIDLen      = 20
)

// packetType is the type of a packet according to its version-independent
// header and its type bits.
type packetType uint8

const (
	// typeShort is a packet of an established connection.
	typeShort packetType = iota
	// typeInitial is an Initial packet.
	typeInitial
	// typeZeroRTT is a packet with early data of a first flight.
	typeZeroRTT
	// typeLong is any other packet with a long header of a known version.
	typeLong
	// typeUnknownVersion is a packet with a long header of an unknown version.
	typeUnknownVersion
)

// packet holds the header fields of a QUIC packet that a balancer reads.
type packet struct {
	kind packetType
	// dcid is the destination connection ID, a slice of the datagram. A short
	// header has no length field; every ID that agents issue has idLen bytes.
	dcid []byte
}

// parsePacket reads the version-independent header of the first packet of a
// datagram (RFC 8999) and, for known versions, the type bits. It decrypts
// nothing. It returns reasonNone if the header is valid.
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
	return parseLongHeader(b, p)
}

func parseLongHeader(b []byte, p *packet) reason {
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
	p.kind = longPacketType(version, b[0])
	if p.kind != typeUnknownVersion && len(p.dcid) > maxIDLen {
		return reasonIDLength
	}
	return reasonNone
}

func longPacketType(version uint32, first byte) packetType {
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

// checkFirstPacket returns reasonNone if a packet without a routable connection
// ID may start a flow.
func checkFirstPacket(p *packet, datagram int) reason {
	switch p.kind {
	case typeInitial:
		if len(p.dcid) < minFirstIDLen {
			return reasonIDLength
		}
		if datagram < minFirstDatagramLen {
			return reasonSmallFirst
		}
	case typeZeroRTT:
		if len(p.dcid) < minFirstIDLen {
			return reasonIDLength
		}
	case typeUnknownVersion:
		if datagram < minFirstDatagramLen {
			return reasonSmallFirst
		}
	default:
		return reasonNotFirst
	}
	return reasonNone
}
