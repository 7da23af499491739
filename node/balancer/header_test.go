package balancer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/connid"
)

// FuzzParsePacket checks that the parser does not panic and that it returns the
// destination connection ID of the datagram (RFC 8999, 5).
func FuzzParsePacket(f *testing.F) {
	id := bytes.Repeat([]byte{0x30}, connid.Len)
	f.Add(shortPacket(id))
	f.Add(initialPacket(1))
	f.Add(longPacket(0xd0, version2, id, 60))
	f.Add(longPacket(0xff, 0x1a2a3a4a, make([]byte, 255), 1200))
	f.Add(longPacket(0x80, 0, nil, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p packet
		if why := parsePacket(data, connid.Len, &p); why != reasonNone {
			assert.Assert(t, why < reasonCount)
			return
		}
		if data[0]&0x80 == 0 {
			assert.Equal(t, p.kind, typeShort)
			assert.Assert(t, bytes.Equal(p.dcid, data[1:18]))
			return
		}
		rebuilt := append([]byte{data[0]}, data[1:5]...)
		rebuilt = append(rebuilt, byte(len(p.dcid)))
		rebuilt = append(rebuilt, p.dcid...)
		assert.Assert(t, bytes.HasPrefix(data, rebuilt))
		source := data[len(rebuilt):]
		assert.Assert(t, len(source) > int(source[0]), "the source connection ID is truncated")
		version := binary.BigEndian.Uint32(data[1:])
		known := version == version1 || version == version2
		assert.Assert(t, version != 0)
		assert.Equal(t, p.kind == typeUnknownVersion, !known)
		assert.Assert(t, !known || len(p.dcid) <= 20)
		if checkFirstPacket(&p, len(data)) == reasonNone {
			assert.Assert(t, p.kind != typeLong)
		}
	})
}
