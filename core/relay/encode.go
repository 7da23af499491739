package relay

import (
	"encoding/binary"
	"time"

	"trefoilweir.example/core/flow"
)

// Sizes of the headers, in bytes.
const (
	commonSize = 4 + 8
	packetSize = commonSize + 3*addrSize
	answerSize = commonSize + flow.KeySize + loadSize + 4
	loadSize   = 1 + 2*4
	addrSize   = 4
	rosterSize = 8
	tagSize    = 8
	ageSize    = 2
	roundSize  = 4
	heldSize   = 4
)

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	count := m.Probes
	if m.Kind == Open || m.Kind == Place {
		count = 0
		if m.Offered {
			count = 1
		}
	}
	b = append(b, Version, byte(m.Kind), m.Hops, count)
	b = binary.BigEndian.AppendUint64(b, m.Service)
	switch m.Kind {
	case Open, Place, Packet, Search, Probe:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		return append(b, m.Body...)
	case Survey:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		b = appendProgress(b, m.Progress)
		return append(binary.BigEndian.AppendUint64(b, m.Roster), m.Body...)
	case Redirect:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		return append(appendTags(b, m.DeniedServices), m.Body...)
	case Owner, NotOwner, MaybeOwner, Waiting, Refused:
		b = m.Load.append(m.Flow.Append(b))
		return appendAddr(b, m.Origin)
	case SurveyResult:
		b = m.Load.append(m.Flow.Append(b))
		b = appendAddr(b, m.Origin)
		return appendAddrs(appendAddrs(b, m.MaybeOwners), m.Unanswered)
	case HeldQuery:
		return binary.BigEndian.AppendUint32(b, m.Round)
	case HeldList:
		b = m.Load.append(binary.BigEndian.AppendUint32(b, m.Round))
		if !m.HeldComplete {
			return append(b, 0)
		}
		b = appendAddrs(append(b, 1), m.Unlisted[:min(len(m.Unlisted), MaxUnlisted)])
		for _, tag := range m.Held[:min(len(m.Held), MaxHeld)] {
			b = binary.BigEndian.AppendUint32(b, tag)
		}
		return b
	case Heartbeat:
		b = m.Load.append(b)
		b = appendProgress(b, m.Progress)
		return binary.BigEndian.AppendUint16(b, uint16(min(m.Age, maxAge)/time.Millisecond))
	}
	return b
}

func (l Load) append(b []byte) []byte {
	b = append(b, l.Flags)
	for _, v := range [...]uint16{l.Busy, l.Expected, l.Slots, l.ServiceTime} {
		b = binary.BigEndian.AppendUint16(b, v)
	}
	return b
}

// Decode decodes a datagram. The Body of the message refers to b.
func Decode(b []byte) (m Message, err error) {
	if len(b) < commonSize || b[0] != Version {
		return m, ErrMalformed
	}
	m.Kind, m.Hops, m.Probes, m.Service = Kind(b[1]), b[2], b[3], binary.BigEndian.Uint64(b[4:])
	if m.Kind == Open || m.Kind == Place {
		m.Offered, m.Probes = m.Probes != 0, 0
	}
	rest := b[commonSize:]
	switch m.Kind {
	case Open, Place, Packet, Search, Probe:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy, m.Body = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:]), rest[12:]
	case Survey:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:])
		var ok bool
		if m.Progress, rest, ok = parseProgress(rest[3*addrSize:]); !ok || len(rest) <= rosterSize {
			return m, ErrMalformed
		}
		m.Roster, m.Body = binary.BigEndian.Uint64(rest), rest[rosterSize:]
	case Redirect:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:])
		var ok bool
		if m.DeniedServices, m.Body, ok = parseTags(rest[3*addrSize:]); !ok || len(m.Body) == 0 {
			return m, ErrMalformed
		}
	case Owner, NotOwner, MaybeOwner, Waiting, Refused:
		if len(b) != answerSize {
			return m, ErrMalformed
		}
		m.parseAnswer(rest)
	case SurveyResult:
		if len(b) < answerSize {
			return m, ErrMalformed
		}
		m.parseAnswer(rest)
		var ok, end bool
		rest = b[answerSize:]
		if m.MaybeOwners, rest, ok = parseAddrs(rest); ok {
			m.Unanswered, rest, end = parseAddrs(rest)
		}
		if !end || len(rest) > 0 {
			return m, ErrMalformed
		}
	case HeldQuery:
		if len(rest) != roundSize {
			return m, ErrMalformed
		}
		m.Round = binary.BigEndian.Uint32(rest)
	case HeldList:
		if !m.parseHeldList(rest) {
			return m, ErrMalformed
		}
	case Heartbeat:
		if len(rest) < loadSize {
			return m, ErrMalformed
		}
		m.Load = parseLoad(rest)
		var ok bool
		if m.Progress, rest, ok = parseProgress(rest[loadSize:]); !ok || len(rest) != ageSize {
			return m, ErrMalformed
		}
		m.Age = time.Duration(binary.BigEndian.Uint16(rest)) * time.Millisecond
	default:
		return m, ErrMalformed
	}
	return m, nil
}

func (m *Message) parseAnswer(b []byte) {
	m.Flow, _ = flow.ParseKey(b)
	m.Load = parseLoad(b[flow.KeySize:])
	m.Origin = parseAddr(b[flow.KeySize+loadSize:])
}

func (m *Message) parseHeldList(b []byte) (ok bool) {
	const start = roundSize + loadSize + 1
	if len(b) < start || b[start-1] > 1 {
		return false
	}
	m.Round, m.Load, m.HeldComplete = binary.BigEndian.Uint32(b), parseLoad(b[roundSize:]), b[start-1] == 1
	rest := b[start:]
	if !m.HeldComplete {
		return len(rest) == 0
	}
	if m.Unlisted, rest, ok = parseAddrs(rest); !ok || len(m.Unlisted) > MaxUnlisted || len(rest)%heldSize != 0 || len(rest) > MaxHeld*heldSize {
		return false
	}
	for ; len(rest) > 0; rest = rest[heldSize:] {
		m.Held = append(m.Held, binary.BigEndian.Uint32(rest))
	}
	return true
}

func parseLoad(b []byte) Load {
	return Load{
		Flags: b[0], Busy: binary.BigEndian.Uint16(b[1:]), Expected: binary.BigEndian.Uint16(b[3:]),
		Slots: binary.BigEndian.Uint16(b[5:]), ServiceTime: binary.BigEndian.Uint16(b[7:]),
	}
}
