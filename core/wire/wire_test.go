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

func codec(t testing.TB, keys map[uint8][]byte, active uint8) *Codec {
	c, err := NewCodec(keys, active)
	assert.NilError(t, err)
	return c
}

func seal(c *Codec, h Header, payload string) []byte {
	buf := append(make([]byte, HeaderLen), payload...)
	c.Seal(buf, &h)
	return buf
}

// Guards against a change of the layout: processes of two builds run side by
// side during every roll-out.
func TestLayout(t *testing.T) {
	buf := seal(codec(t, map[uint8][]byte{3: newKey}, 3), sample, "")
	want := strings.Join([]string{
		"01", "01", "03", "06", "01020304", "1112131415161718", "2122232425262728",
		"00000000000000000000ffffc0000209", "01bb", "3132", "4142", "0005"}, "")
	assert.Equal(t, hex.EncodeToString(buf[:tagOffset]), want)
}

// Guards against fields that are lost, for every kind and address family.
func TestRoundTrip(t *testing.T) {
	c := codec(t, map[uint8][]byte{3: newKey}, 3)
	for kind := Forward; kind <= Control; kind++ {
		for _, caller := range []string{"192.0.2.9:443", "[2001:db8::9]:443", ""} {
			h := sample
			h.Kind = kind
			h.Caller = netip.AddrPort{}
			if caller != "" {
				h.Caller = netip.MustParseAddrPort(caller)
			}
			var got Header
			assert.NilError(t, c.Open(seal(c, h, "payload"), &got))
			assert.Equal(t, got, h)
		}
	}
}

// Guards against a changed datagram that is believed: every bit of the header
// and of the first 32 payload bytes is covered.
func TestEveryBitIsAuthenticated(t *testing.T) {
	c := codec(t, map[uint8][]byte{0: oldKey, 3: newKey}, 3)
	payload := strings.Repeat("p", taggedPayload+8)
	for bit := range (HeaderLen + taggedPayload) * 8 {
		buf := seal(c, sample, payload)
		buf[bit/8] ^= 1 << (bit % 8)
		var h Header
		assert.Assert(t, c.Open(buf, &h) != nil, "bit %d", bit)
		assert.Equal(t, h, Header{}, "a refused datagram was decoded")
	}
	for cut := range HeaderLen + taggedPayload {
		assert.Assert(t, c.Open(seal(c, sample, payload)[:cut], &Header{}) != nil, "cut to %d bytes", cut)
	}
}

// Guards against wrong error reasons, which counters report.
func TestErrors(t *testing.T) {
	before := codec(t, map[uint8][]byte{0: oldKey}, 0)
	during := codec(t, map[uint8][]byte{0: oldKey, 255: newKey}, 255)
	forged := seal(before, sample, "")
	forged[2] = 255
	version2 := seal(before, sample, "")
	version2[0] = 2
	kind := sample
	kind.Kind = Control + 1
	for _, c := range []struct {
		codec *Codec
		buf   []byte
		want  error
	}{
		{during, seal(before, sample, ""), nil},
		{during, seal(during, sample, ""), nil},
		{before, seal(during, sample, ""), ErrGeneration},
		{before, make([]byte, HeaderLen-1), ErrShort},
		{before, nil, ErrShort},
		{before, version2, ErrVersion},
		{during, forged, ErrTag},
		{before, seal(before, kind, ""), ErrKind},
		{before, seal(before, Header{}, ""), ErrKind},
	} {
		assert.Equal(t, c.codec.Open(c.buf, &Header{}), c.want)
	}
	_, err := NewCodec(map[uint8][]byte{0: oldKey}, 1)
	assert.ErrorContains(t, err, "active generation 1 has no key")
	_, err = NewCodec(map[uint8][]byte{0: oldKey[:8]}, 0)
	assert.ErrorContains(t, err, "8 bytes, want 16")
}

// Guards against allocation for each datagram.
func TestSealAndOpenDoNotAllocate(t *testing.T) {
	c := codec(t, map[uint8][]byte{3: newKey}, 3)
	buf := make([]byte, 1300)
	in, out := sample, Header{}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		c.Seal(buf, &in)
		_ = c.Open(buf, &out)
	}), 0.0)
}

// FuzzOpen guards against panics, and against a header that does not seal to
// the bytes it was opened from. With fix, the tag is made valid, so that the
// decoding is reached.
func FuzzOpen(f *testing.F) {
	c := codec(f, map[uint8][]byte{0: oldKey, 3: newKey}, 3)
	f.Add(seal(c, sample, "payload"), false)
	f.Add(seal(c, Header{Kind: Ping}, ""), true)
	f.Add([]byte{1, 2, 3}, true)
	f.Fuzz(func(t *testing.T, data []byte, fix bool) {
		if fix && len(data) >= HeaderLen && c.keys[data[2]].loaded {
			hi, lo := c.tag(data[2], data)
			binary.BigEndian.PutUint64(data[tagOffset:], hi)
			binary.BigEndian.PutUint64(data[tagOffset+8:], lo)
		}
		original := bytes.Clone(data)
		var h Header
		err := c.Open(data, &h)
		assert.Assert(t, bytes.Equal(data, original), "the input was changed")
		if err != nil {
			assert.Equal(t, h, Header{})
			return
		}
		again := bytes.Clone(data)
		c.Seal(again, &h)
		var h2 Header
		assert.NilError(t, c.Open(again, &h2))
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
	c := codec(b, map[uint8][]byte{3: newKey}, 3)
	buf, h := seal(c, sample, strings.Repeat("p", 1252)), sample
	b.ReportAllocs()
	for b.Loop() {
		f(c, buf, &h)
	}
}
