package strictjson_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/strictjson"
)

type inner struct {
	Size  int     `json:"size"`
	Speed float64 `json:"speed"`
}

func (i *inner) SetDefaults() { i.Speed = 1 }

type embedded struct {
	Name string `json:"name"`
}

type outer struct {
	embedded
	Items  []inner          `json:"items"`
	ByName map[string]inner `json:"by_name"`
	On     bool             `json:"on"`
}

// Guards against an error that hides the errors after it, and against paths
// that do not name the field at fault.
func TestDecodeReportsEveryError(t *testing.T) {
	var o outer
	errs := strictjson.Decode([]byte(`{"name":5,"Name":"x","items":[{"size":1.5},{"sise":1,"size":2,"size":3},null],
		"by_name":{"a b":{"size":"x"},"c":[]},"on":{"deep":[1,{"x":2}]}}`), &o)
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
	assert.Equal(t, o.Items[1].Size, 2)
}

// Guards against a default that replaces an explicit zero.
func TestDecodeDefaults(t *testing.T) {
	var o outer
	errs := strictjson.Decode([]byte(`{"items":[{},{"speed":0}]}`), &o)
	assert.NilError(t, errs.Err())
	assert.Equal(t, o.Items[0].Speed, 1.0)
	assert.Equal(t, o.Items[1].Speed, 0.0)
}

// Guards against a syntax error without its place, and against files with
// something after the value.
func TestDecodeSyntax(t *testing.T) {
	for in, want := range map[string]string{
		"":               "unexpected EOF",
		"{\n  \"a\" 1}":  "line 2, column 7: invalid character '1' after object key",
		`{"on":true} {}`: "line 1, column 13: invalid character '{' after top-level value",
	} {
		var o outer
		assert.Error(t, strictjson.Decode([]byte(in), &o).Err(), want)
	}
}

type plainItem struct {
	Size  uint16            `json:"size"`
	Speed float64           `json:"speed"`
	Tags  map[string]string `json:"tags"`
}

type plainFile struct {
	Name  string      `json:"name"`
	On    bool        `json:"on"`
	Delta int8        `json:"delta"`
	Items []plainItem `json:"items"`
}

// Guards against a panic, and against a file that is accepted and read
// differently than encoding/json reads it.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a\"b\u00e9\ud800","on":true,"delta":-5,"items":[{"size":7,"speed":1e3,"tags":{"x":"y"}},{}]}`))
	f.Add([]byte(`{"unknown":[{"a":"]}"},null,1.5,"\\"],"items":{},"name":["x"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want plainFile
		if strictjson.Decode(data, &got) != nil {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("accepted, but encoding/json says: %v", err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("read as %+v, encoding/json reads %+v", got, want)
		}
	})
}
