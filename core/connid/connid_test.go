package connid

import (
	"bytes"
	"crypto/aes"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	oldKey = []byte("0123456789abcdef")
	newKey = []byte("fedcba9876543210")
	sample = ID{netip.MustParseAddrPort("192.0.2.7:7101"), 0x01020304, 0x0506, 0x0708090a}
)

func newCodec(t testing.TB, keys map[uint8][]byte, active uint8) *Codec {
	c, err := NewCodec(keys, active)
	assert.NilError(t, err)
	return c
}

// TestLayout guards against a change of the layout. It would break every open
// flow while balancers of two builds run during a roll-out.
func TestLayout(t *testing.T) {
	var id [Len]byte
	assert.NilError(t, newCodec(t, map[uint8][]byte{5: newKey}, 5).Encode(&id, sample))
	assert.Equal(t, id[0], byte(5<<5|16))
	block, err := aes.NewCipher(newKey)
	assert.NilError(t, err)
	var plain [16]byte
	block.Decrypt(plain[:], id[1:])
	assert.Equal(t, string(plain[:]), "\xc0\x00\x02\x07\x1b\xbd\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a")
}

// TestKeyGenerations guards against flows that become unroutable during a key
// rotation.
func TestKeyGenerations(t *testing.T) {
	oldOnly := newCodec(t, map[uint8][]byte{0: oldKey}, 0)
	bothKeys := newCodec(t, map[uint8][]byte{0: oldKey, 6: newKey}, 6)
	newOnly := newCodec(t, map[uint8][]byte{6: newKey}, 6)
	var oldID, newID [Len]byte
	assert.NilError(t, oldOnly.Encode(&oldID, sample))
	assert.NilError(t, bothKeys.Encode(&newID, sample))
	var s Scratch
	for _, c := range []struct {
		codec *Codec
		id    [Len]byte
		want  error
	}{
		{oldOnly, oldID, nil}, {oldOnly, newID, ErrGeneration},
		{bothKeys, oldID, nil}, {bothKeys, newID, nil},
		{newOnly, oldID, ErrGeneration}, {newOnly, newID, nil},
	} {
		got, err := c.codec.Decode(c.id[:], &s)
		assert.Equal(t, err, c.want)
		if err == nil {
			assert.Equal(t, got, sample)
		}
	}
}

// TestInvalidInput guards against invalid input that Decode or Encode accepts,
// and against an IPv4-mapped agent address that Encode rejects.
func TestInvalidInput(t *testing.T) {
	c := newCodec(t, map[uint8][]byte{1: oldKey}, 1)
	var id [Len]byte
	assert.NilError(t, c.Encode(&id, sample))
	var s Scratch
	for _, bad := range [][]byte{nil, id[:16], append(id[:], 0), {0x30}} {
		_, err := c.Decode(bad, &s)
		assert.Equal(t, err, ErrLength)
	}
	for first, want := range map[byte]error{1<<5 | 15: ErrLength, 7<<5 | 16: ErrGeneration, 2<<5 | 16: ErrGeneration} {
		id[0] = first
		_, err := c.Decode(id[:], &s)
		assert.Equal(t, err, want)
	}
	ipv6 := sample
	ipv6.Agent = netip.MustParseAddrPort("[2001:db8::1]:1")
	assert.ErrorContains(t, c.Encode(&id, ipv6), "not IPv4")
	ipv4Mapped := sample
	ipv4Mapped.Agent = netip.MustParseAddrPort("[::ffff:192.0.2.7]:7101")
	assert.NilError(t, c.Encode(&id, ipv4Mapped))
	got, err := c.Decode(id[:], &s)
	assert.NilError(t, err)
	assert.Equal(t, got, sample)
}

// TestNewCodecInvalidKeys guards against unusable keys that NewCodec accepts.
func TestNewCodecInvalidKeys(t *testing.T) {
	for want, keys := range map[string]map[uint8][]byte{
		"active key generation 1 has no key": {0: oldKey},
		"over the maximum of 6":              {1: oldKey, 7: oldKey},
		"15 bytes, want 16":                  {1: oldKey[:15]},
	} {
		_, err := NewCodec(keys, 1)
		assert.ErrorContains(t, err, want)
	}
	_, err := NewCodec(map[uint8][]byte{1: oldKey}, 200)
	assert.ErrorContains(t, err, "active key generation 200")
}

// TestDecodeDoesNotAllocate guards against an allocation per datagram.
func TestDecodeDoesNotAllocate(t *testing.T) {
	c := newCodec(t, map[uint8][]byte{1: oldKey}, 1)
	var id [Len]byte
	assert.NilError(t, c.Encode(&id, sample))
	var s Scratch
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = c.Decode(id[:], &s) }), 0.0)
}

// FuzzDecode guards against panics and against a decoded ID that encodes to
// other bytes than those it was decoded from.
func FuzzDecode(f *testing.F) {
	c := newCodec(f, map[uint8][]byte{1: oldKey, 2: newKey}, 1)
	var id [Len]byte
	assert.NilError(f, c.Encode(&id, sample))
	f.Add(id[:])
	f.Add([]byte{0x30})
	f.Fuzz(func(t *testing.T, data []byte) {
		original := bytes.Clone(data)
		var s Scratch
		got, err := c.Decode(data, &s)
		assert.Assert(t, bytes.Equal(data, original), "Decode modified its input")
		if err != nil || data[0]>>generationShift != 1 {
			return
		}
		var reencoded [Len]byte
		assert.NilError(t, c.Encode(&reencoded, got))
		assert.DeepEqual(t, reencoded[:], data)
	})
}
