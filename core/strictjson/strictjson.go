// Package strictjson decodes JSON files that people write. It refuses unknown
// and duplicate fields, matches field names exactly, and reports every error
// at once with the path of its field, such as services[2].targets[0].slots.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Error is one fault of a file.
type Error struct {
	// Path is the path of the field. Empty for the file as a whole.
	Path string
	// Reason says what is wrong, with units.
	Reason string
}

// Error implements error.
func (e Error) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Errors are all faults of a file.
type Errors []Error

// Error implements error, with one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Addf appends a fault.
func (e *Errors) Addf(path, format string, args ...any) {
	*e = append(*e, Error{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns nil if there are no faults.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Defaulter is a type with default values. SetDefaults is called before the
// fields that are present are decoded.
type Defaulter interface{ SetDefaults() }

// maxNameBytes bounds the text of a file that an error message repeats, in
// bytes, and the length of strings that are interned.
const maxNameBytes = 64

// Decode decodes one JSON value into the value that into points to. Supported
// are structs, maps with string keys, slices, strings, booleans, numbers and
// types that implement encoding.TextUnmarshaler. A null is refused.
func Decode(data []byte, into any) Errors {
	var errs Errors
	if err := checkSyntax(data); err != nil {
		errs.Addf("", "%v", err)
		return errs
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	d := decoder{dec: dec, intern: map[string]string{}, fields: map[reflect.Type]map[string][]int{}}
	d.value("", reflect.ValueOf(into).Elem())
	return d.errs
}

func checkSyntax(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case len(bytes.TrimSpace(data)) == 0:
		return io.ErrUnexpectedEOF
	case errors.As(err, &syntax):
		before := data[:min(int(syntax.Offset), len(data))]
		line := 1 + bytes.Count(before, []byte("\n"))
		column := len(before) - bytes.LastIndexByte(before, '\n') - 1
		return fmt.Errorf("line %d, column %d: %w", line, max(column, 1), err)
	default:
		return err
	}
}

type decoder struct {
	dec  *json.Decoder
	errs Errors
	// intern keeps one copy of short strings that repeat, such as the names
	// of data centres.
	intern map[string]string
	// fields caches the fields of each struct type.
	fields map[reflect.Type]map[string][]int
}

// token returns the next token. The syntax was checked before, so that an
// error cannot occur.
func (d *decoder) token() json.Token {
	t, err := d.dec.Token()
	if err != nil {
		return nil
	}
	return t
}

// value decodes the next value into v.
func (d *decoder) value(path string, v reflect.Value) {
	if def, ok := v.Addr().Interface().(Defaulter); ok {
		def.SetDefaults()
	}
	token := d.token()
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, token, text)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if d.opens(path, token, '{', "an object") {
			d.object(path, v)
		}
	case reflect.Map:
		if d.opens(path, token, '{', "an object") {
			d.mapping(path, v)
		}
	case reflect.Slice:
		if d.opens(path, token, '[', "a list") {
			d.list(path, v)
		}
	default:
		d.scalar(path, token, v)
	}
}

// opens reports whether token starts the wanted kind of composite, and skips
// the value if not.
func (d *decoder) opens(path string, token json.Token, delim json.Delim, want string) bool {
	if token == delim {
		return true
	}
	d.mismatch(path, token, want)
	return false
}

func (d *decoder) mismatch(path string, token json.Token, want string) {
	d.errs.Addf(path, "%s, want %s", describe(token), want)
	d.skip(token)
}

// skip consumes the rest of a value that starts with token.
func (d *decoder) skip(token json.Token) {
	depth := 0
	for {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 {
			return
		}
		token = d.token()
	}
}

func (d *decoder) object(path string, v reflect.Value) {
	fields, cached := d.fields[v.Type()]
	if !cached {
		fields = fieldsOf(v.Type())
		d.fields[v.Type()] = fields
	}
	seen := make(map[string]bool, len(fields))
	for d.dec.More() {
		name, _ := d.token().(string)
		at := Join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.errs.Addf(at, "unknown field, want one of: %s", strings.Join(namesOf(fields), ", "))
			d.skip(d.token())
		case seen[name]:
			d.errs.Addf(at, "field is given twice")
			d.skip(d.token())
		default:
			seen[name] = true
			d.value(at, v.FieldByIndex(index))
		}
	}
	d.token()
}

func (d *decoder) mapping(path string, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for d.dec.More() {
		name, _ := d.token().(string)
		at := Join(path, name)
		key := reflect.ValueOf(name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.errs.Addf(at, "field is given twice")
			d.skip(d.token())
			continue
		}
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(at, element)
		v.SetMapIndex(key, element)
	}
	d.token()
}

func (d *decoder) list(path string, v reflect.Value) {
	out := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; d.dec.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(path+"["+strconv.Itoa(i)+"]", element)
		out = reflect.Append(out, element)
	}
	d.token()
	// A copy of the exact length, because configurations stay in memory and
	// growth leaves up to half of the capacity unused.
	exact := reflect.MakeSlice(v.Type(), out.Len(), out.Len())
	reflect.Copy(exact, out)
	v.Set(exact)
}

func (d *decoder) text(path string, token json.Token, into encoding.TextUnmarshaler) {
	s, ok := token.(string)
	if !ok {
		d.mismatch(path, token, "a string")
		return
	}
	if err := into.UnmarshalText([]byte(s)); err != nil {
		d.errs.Addf(path, "%v", err)
	}
}

func (d *decoder) scalar(path string, token json.Token, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := token.(string); ok {
			v.SetString(d.interned(s))
			return
		}
		d.mismatch(path, token, "a string")
	case reflect.Bool:
		if b, ok := token.(bool); ok {
			v.SetBool(b)
			return
		}
		d.mismatch(path, token, "true or false")
	default:
		d.number(path, token, v)
	}
}

// interned returns s, or an equal string that was seen before. Only short
// strings repeat often enough to be worth a table entry.
func (d *decoder) interned(s string) string {
	if len(s) > maxNameBytes {
		return s
	}
	if known, ok := d.intern[s]; ok {
		return known
	}
	d.intern[s] = s
	return s
}

func (d *decoder) number(path string, token json.Token, v reflect.Value) {
	n, ok := token.(json.Number)
	if !ok {
		d.mismatch(path, token, "a number")
		return
	}
	var err error
	switch {
	case v.CanInt():
		var i int64
		if i, err = strconv.ParseInt(n.String(), 10, v.Type().Bits()); err == nil {
			v.SetInt(i)
		}
	case v.CanUint():
		var u uint64
		if u, err = strconv.ParseUint(n.String(), 10, v.Type().Bits()); err == nil {
			v.SetUint(u)
		}
	case v.CanFloat():
		var f float64
		if f, err = strconv.ParseFloat(n.String(), v.Type().Bits()); err == nil {
			v.SetFloat(f)
		}
	default:
		err = fmt.Errorf("type %s is not supported", v.Type())
	}
	if err != nil {
		d.errs.Addf(path, "%s is not a valid %s", clip(n.String()), kindName(v.Kind()))
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "whole number of at least 0 (" + k.String() + ")"
	default:
		return "whole number (" + k.String() + ")"
	}
}

func describe(token json.Token) string {
	switch t := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "the string " + strconv.Quote(clip(t))
	case json.Number:
		return "the number " + clip(t.String())
	default:
		return fmt.Sprint(t)
	}
}

func clip(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes] + "..."
}

// fieldsOf maps JSON names to field indexes, embedded structs included.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || !f.IsExported() || name == "" || name == "-" {
			continue
		}
		fields[name] = f.Index
	}
	return fields
}

func namesOf(fields map[string][]int) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Join appends a field name to a path. Names that are not plain are quoted.
func Join(path, name string) string {
	if !plain(name) {
		name = strconv.Quote(clip(name))
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func plain(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == '"' || r == '.' || r == '[' || r == ']' || r > '~' {
			return false
		}
	}
	return true
}
