package strictjson_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/strictjson"
)

type item struct {
	Size  int     `json:"size"`
	Speed float64 `json:"speed"`
}

func (i *item) SetDefaults() { i.Speed = 1 }

type embedded struct {
	Name string `json:"name"`
}

type document struct {
	embedded
	Items  []item          `json:"items"`
	ByName map[string]item `json:"by_name"`
	On     bool            `json:"on"`
}

// TestDecodeReportsEveryError guards against an error that hides those after
// it, and against a path that names another field.
func TestDecodeReportsEveryError(t *testing.T) {
	var doc document
	errs := strictjson.Decode([]byte(`{"name":5,"Name":"x","items":[{"size":1.5},{"sise":1,"size":2,"size":3},null],
		"by_name":{"a b":{"size":"x"},"c":[]},"on":{"deep":[1,{"x":2}]}}`), &doc)
	want := []string{
		`name: the number 5, want a string`,
		`Name: unknown field, want one of: by_name, items, name, on`,
		`items[0].size: 1.5 is not a valid whole number (int)`,
		`items[1].sise: unknown field, want one of: size, speed`,
		`items[1].size: field is given twice`,
		`items[2]: null, want an object`,
		`by_name."a b".size: the string "x", want a number`,
		`by_name.c: a list, want an object`,
		`on: an object, want true or false`,
	}
	assert.Equal(t, len(errs), len(want), "%v", errs)
	for i := range want {
		assert.Equal(t, errs[i].Error(), want[i])
	}
	assert.Equal(t, doc.Items[1].Size, 2)
}

// TestDecodeDefaults guards against a default that is missing or replaces an
// explicit zero.
func TestDecodeDefaults(t *testing.T) {
	var doc document
	errs := strictjson.Decode([]byte(`{"items":[{},{"speed":0}]}`), &doc)
	assert.NilError(t, errs.Err())
	assert.Equal(t, doc.Items[0].Speed, 1.0)
	assert.Equal(t, doc.Items[1].Speed, 0.0)
}

// TestDecodeSyntax guards against a syntax error without line and column, and
// against a file with text after the value that is accepted.
func TestDecodeSyntax(t *testing.T) {
	for in, want := range map[string]string{
		"":               "unexpected EOF",
		"{\n  \"a\" 1}":  "line 2, column 7: invalid character '1' after object key",
		`{"on":true} {}`: "line 1, column 13: invalid character '{' after top-level value",
	} {
		var doc document
		assert.Error(t, strictjson.Decode([]byte(in), &doc).Err(), want)
	}
}

type fuzzItem struct {
	Size  uint16            `json:"size"`
	Speed float64           `json:"speed"`
	Tags  map[string]string `json:"tags"`
}

type fuzzDocument struct {
	Name  string     `json:"name"`
	On    bool       `json:"on"`
	Delta int8       `json:"delta"`
	Items []fuzzItem `json:"items"`
}

// FuzzDecode guards against a panic, and against a file that Decode accepts
// and decodes differently from encoding/json.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a\"b\u00e9\ud800","on":true,"delta":-5,"items":[{"size":7,"speed":1e3,"tags":{"x":"y"}},{}]}`))
	f.Add([]byte(`{"unknown":[{"a":"]}"},null,1.5,"\\"],"items":{},"name":["x"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want fuzzDocument
		if strictjson.Decode(data, &got) != nil {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("Decode accepts the input, encoding/json rejects it: %v", err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("Decode returns %+v, encoding/json returns %+v", got, want)
		}
	})
}
