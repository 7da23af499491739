package keys

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/connid"
)

const (
	keyA = "000102030405060708090a0b0c0d0e0f"
	keyB = "101112131415161718191a1b1c1d1e1f"
)

func purposeJSON(active, key string) string {
	return `{"active":` + active + `,"generations":{"1":"` + key + `"}}`
}

func keysFileJSON(connID, datagram, ticket string) string {
	return `{"connid":` + connID + `,"datagram":` + datagram + `,"ticket":` + ticket + `}`
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

// Guards against an error about a faulty keys file that does not name the field,
// or that contains a key.
func TestOpenNamesTheFaultyField(t *testing.T) {
	good := purposeJSON("1", keyA)
	cases := map[string]struct{ text, want string }{
		"not JSON":           {"{", "not a valid keys file"},
		"unknown field":      {`{"connids":{}}`, "connids"},
		"missing purpose":    {`{"connid":` + good + `,"datagram":` + good + `}`, "ticket: missing"},
		"missing active":     {keysFileJSON(good, `{"generations":{"1":"`+keyA+`"}}`, good), "datagram.active: missing"},
		"active not loaded":  {keysFileJSON(purposeJSON("2", keyA), good, good), "connid.active: generation 2"},
		"short key":          {keysFileJSON(good, good, purposeJSON("1", "0102")), "ticket.generations.1"},
		"not hexadecimal":    {keysFileJSON(good, purposeJSON("1", strings.Repeat("z", 32)), good), "datagram.generations.1"},
		"generation too big": {keysFileJSON(`{"active":7,"generations":{"7":"`+keyA+`"}}`, good, good), "connid.generations.7"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys.json")
			writeFile(t, path, c.text)
			_, err := Open(path)
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), keyA), "the error contains a key")
		})
	}
}

// Guards against a failed reload that removes the keys in force, and against a
// successful reload that has no effect.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	writeFile(t, path, keysFileJSON(purposeJSON("1", keyA), purposeJSON("1", keyA), purposeJSON("1", keyA)))
	s, err := Open(path)
	assert.NilError(t, err)
	var id [connid.Len]byte
	first := s.ConnIDCodec()
	before := s.ResetKey(1)

	writeFile(t, path, "{")
	assert.ErrorContains(t, s.Reload(), path)
	assert.Equal(t, s.ConnIDCodec(), first)
	assert.Equal(t, s.ResetKey(1), before)

	writeFile(t, path, keysFileJSON(purposeJSON("1", keyB), purposeJSON("1", keyA), purposeJSON("1", keyA)))
	assert.NilError(t, s.Reload())
	assert.Assert(t, s.ConnIDCodec() != first)
	assert.Assert(t, s.ResetKey(1) != before)
	_, err = s.ConnIDCodec().Decode(id[:], new(connid.Scratch))
	assert.ErrorIs(t, err, connid.ErrLength)
}

// Guards against derived keys that differ between processes with the same file,
// or that are equal for two services or two uses.
func TestDerivedKeysDiffer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	writeFile(t, path, keysFileJSON(purposeJSON("1", keyA), purposeJSON("1", keyB), purposeJSON("1", keyB)))
	a, err := Open(path)
	assert.NilError(t, err)
	b, err := Open(path)
	assert.NilError(t, err)
	assert.Equal(t, a.ResetKey(1), b.ResetKey(1))
	assert.Equal(t, a.TokenKey(), b.TokenKey())
	assert.Assert(t, a.ResetKey(1) != a.ResetKey(2))
	assert.Assert(t, a.ResetKey(1) != a.TokenKey())
}
