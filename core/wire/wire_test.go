package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	oldKey = []byte("0123456789abcdef")
	newKey = []byte("fedcba9876543210")
	sample = Header{
		Kind: Forward, Flags: FlagEcho | FlagFirst, Service: 0x01020304, Incarnation: 0x1112131415161718,
		Sequence: 0x2122232425262728, Caller: netip.MustParseAddrPort("192.0.2.9:443"),
		Busy: 0x3132, Waiting: 0x4142, State: StateDraining | StateFull,
	}
)

func newCodec(t testing.TB, keys map[uint8][]byte, active uint8) *Codec {
	c, err := NewCodec(keys, active)
	assert.NilError(t, err)
	return c
}

func sealDatagram(c *Codec, h Header, payload string) []byte {
	buf := append(make([]byte, HeaderLen), payload...)
	c.Seal(buf, &h)
	return buf
}

// TestLayout guards against a change of the header layout. Processes of two
// builds exchange datagrams during a roll-out.
func TestLayout(t *testing.T) {
	buf := sealDatagram(newCodec(t, map[uint8][]byte{3: newKey}, 3), sample, "")
	want := strings.Join([]string{
		"01", "01", "03", "06", "01020304", "1112131415161718", "2122232425262728",
		"00000000000000000000ffffc0000209", "01bb", "3132", "4142", "0005"}, "")
	assert.Equal(t, hex.EncodeToString(buf[:tagOffset]), want)
}

// TestRoundTrip guards against header fields that are lost or changed, for
// every kind and address family.
func TestRoundTrip(t *testing.T) {
	c := newCodec(t, map[uint8][]byte{3: newKey}, 3)
	for kind := Forward; kind <= Control; kind++ {
		for _, caller := range []string{"192.0.2.9:443", "[2001:db8::9]:443", ""} {
			h := sample
			h.Kind = kind
			h.Caller = netip.AddrPort{}
			if caller != "" {
				h.Caller = netip.MustParseAddrPort(caller)
			}
			var got Header
			assert.NilError(t, c.Open(sealDatagram(c, h, "payload"), &got))
			assert.Equal(t, got, h)
		}
	}
}

// TestEveryBitIsAuthenticated guards against a modified datagram that is
// accepted. The tag covers every bit of the header and of the first 32 payload
// bytes.
func TestEveryBitIsAuthenticated(t *testing.T) {
	c := newCodec(t, map[uint8][]byte{0: oldKey, 3: newKey}, 3)
	payload := strings.Repeat("p", taggedPayloadLen+8)
	for bit := range (HeaderLen + taggedPayloadLen) * 8 {
		buf := sealDatagram(c, sample, payload)
		buf[bit/8] ^= 1 << (bit % 8)
		var h Header
		assert.Assert(t, c.Open(buf, &h) != nil, "bit %d", bit)
		assert.Equal(t, h, Header{}, "the header of a rejected datagram was decoded")
	}
	for cut := range HeaderLen + taggedPayloadLen {
		assert.Assert(t, c.Open(sealDatagram(c, sample, payload)[:cut], &Header{}) != nil, "truncated to %d bytes", cut)
	}
}

// TestErrors guards against an error that does not match the fault. The
// counters of dropped datagrams are labelled by it.
func TestErrors(t *testing.T) {
	oldOnly := newCodec(t, map[uint8][]byte{0: oldKey}, 0)
	bothKeys := newCodec(t, map[uint8][]byte{0: oldKey, 255: newKey}, 255)
	forged := sealDatagram(oldOnly, sample, "")
	forged[2] = 255
	version2 := sealDatagram(oldOnly, sample, "")
	version2[0] = 2
	unknownKind := sample
	unknownKind.Kind = Control + 1
	for _, c := range []struct {
		codec *Codec
		buf   []byte
		want  error
	}{
		{bothKeys, sealDatagram(oldOnly, sample, ""), nil},
		{bothKeys, sealDatagram(bothKeys, sample, ""), nil},
		{oldOnly, sealDatagram(bothKeys, sample, ""), ErrGeneration},
		{oldOnly, make([]byte, HeaderLen-1), ErrShort},
		{oldOnly, nil, ErrShort},
		{oldOnly, version2, ErrVersion},
		{bothKeys, forged, ErrTag},
		{oldOnly, sealDatagram(oldOnly, unknownKind, ""), ErrKind},
		{oldOnly, sealDatagram(oldOnly, Header{}, ""), ErrKind},
	} {
		assert.Equal(t, c.codec.Open(c.buf, &Header{}), c.want)
	}
	_, err := NewCodec(map[uint8][]byte{0: oldKey}, 1)
	assert.ErrorContains(t, err, "active key generation 1 has no key")
	_, err = NewCodec(map[uint8][]byte{0: oldKey[:8]}, 0)
	assert.ErrorContains(t, err, "8 bytes, want 16")
}

// TestSealAndOpenDoNotAllocate guards against an allocation per datagram.
func TestSealAndOpenDoNotAllocate(t *testing.T) {
	c := newCodec(t, map[uint8][]byte{3: newKey}, 3)
	buf := make([]byte, 1300)
	in, out := sample, Header{}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		c.Seal(buf, &in)
		_ = c.Open(buf, &out)
	}), 0.0)
}

// FuzzOpen guards against panics and against a decoded header that changes
// when it is sealed and opened again. With fixTag the input gets a valid tag,
// so that the header is decoded.
func FuzzOpen(f *testing.F) {
	c := newCodec(f, map[uint8][]byte{0: oldKey, 3: newKey}, 3)
	f.Add(sealDatagram(c, sample, "payload"), false)
	f.Add(sealDatagram(c, Header{Kind: Ping}, ""), true)
	f.Add([]byte{1, 2, 3}, true)
	f.Fuzz(func(t *testing.T, data []byte, fixTag bool) {
		if fixTag && len(data) >= HeaderLen && c.keys[data[2]].loaded {
			hi, lo := c.tag(data[2], data)
			binary.BigEndian.PutUint64(data[tagOffset:], hi)
			binary.BigEndian.PutUint64(data[tagOffset+8:], lo)
		}
		original := bytes.Clone(data)
		var h Header
		err := c.Open(data, &h)
		assert.Assert(t, bytes.Equal(data, original), "Open modified its input")
		if err != nil {
			assert.Equal(t, h, Header{})
			return
		}
		resealed := bytes.Clone(data)
		c.Seal(resealed, &h)
		var h2 Header
		assert.NilError(t, c.Open(resealed, &h2))
		assert.Equal(t, h2, h)
	})
}

func BenchmarkSeal(b *testing.B) {
	benchmark(b, func(c *Codec, buf []byte, h *Header) { c.Seal(buf, h) })
}

func BenchmarkOpen(b *testing.B) {
	benchmark(b, func(c *Codec, buf []byte, h *Header) { _ = c.Open(buf, h) })
}

func benchmark(b *testing.B, f func(*Codec, []byte, *Header)) {
	c := newCodec(b, map[uint8][]byte{3: newKey}, 3)
	buf, h := sealDatagram(c, sample, strings.Repeat("p", 1252)), sample
	b.ReportAllocs()
	for b.Loop() {
		f(c, buf, &h)
	}
}
