package strictjson

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// maxNameBytes bounds the text of a file that an error message repeats, in
// bytes, and the length of strings that are interned.
const maxNameBytes = 64

// place is the path of a value. It is written out only for errors.
type place struct {
	parent *place
	// name is the name of a field; index is that of an element if the name is
	// empty and indexed is set.
	name    string
	index   int
	indexed bool
}

// String returns the path, such as services[2].targets[0].slots.
func (p *place) String() string {
	switch {
	case p == nil:
		return ""
	case p.indexed:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	default:
		return JoinPath(p.parent.String(), p.name)
	}
}

// typeInfo is what the decoder knows about a type.
type typeInfo struct {
	defaulter, text bool
	// fields maps the names of a struct's fields, embedded ones included.
	fields map[string]*fieldInfo
}

type fieldInfo struct {
	name   string
	index  []int
	number int
}

type decoder struct {
	scanner
	errs Errors
	// intern keeps one copy of short strings that repeat, such as the names
	// of data centres.
	intern map[string]string
	types  map[reflect.Type]*typeInfo
}

func (d *decoder) info(t reflect.Type) *typeInfo {
	if known, ok := d.types[t]; ok {
		return known
	}
	pointer := reflect.PointerTo(t)
	info := &typeInfo{
		defaulter: pointer.Implements(reflect.TypeFor[Defaulter]()),
		text:      pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]()),
	}
	if t.Kind() == reflect.Struct {
		info.fields = fieldsOf(t)
	}
	d.types[t] = info
	return info
}

func fieldsOf(t reflect.Type) map[string]*fieldInfo {
	fields := map[string]*fieldInfo{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || !f.IsExported() || name == "" || name == "-" {
			continue
		}
		fields[name] = &fieldInfo{name, f.Index, len(fields)}
	}
	return fields
}

func (d *decoder) addf(at *place, format string, args ...any) {
	d.errs.Addf(at.String(), format, args...)
}

// value decodes the next value into v.
func (d *decoder) value(at *place, v reflect.Value) {
	info := d.info(v.Type())
	if info.defaulter {
		v.Addr().Interface().(Defaulter).SetDefaults()
	}
	if info.text {
		d.text(at, v.Addr().Interface().(encoding.TextUnmarshaler))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if d.opens(at, '{', "an object") {
			d.object(at, v, info)
		}
	case reflect.Map:
		if d.opens(at, '{', "an object") {
			d.mapping(at, v)
		}
	case reflect.Slice:
		if d.opens(at, '[', "a list") {
			d.list(at, v)
		}
	default:
		d.scalarValue(at, v)
	}
}

// opens moves into a list or object if it is of the wanted kind, and past the
// value if not.
func (d *decoder) opens(at *place, first byte, want string) bool {
	if d.peek() == first {
		d.pos++
		return true
	}
	d.mismatch(at, want)
	return false
}

// mismatch reports the next value and skips it.
func (d *decoder) mismatch(at *place, want string) {
	d.peek()
	start := d.pos
	d.skip()
	d.addf(at, "%s, want %s", describe(d.data[start:d.pos]), want)
}

func (d *decoder) object(at *place, v reflect.Value, info *typeInfo) {
	var few [64]bool
	seen := few[:]
	if len(info.fields) > len(few) {
		seen = make([]bool, len(info.fields))
	}
	for d.more() {
		name := d.key()
		f, known := info.fields[string(name)]
		switch {
		case !known:
			d.addf(&place{parent: at, name: string(name)}, "unknown field, want one of: %s",
				strings.Join(slices.Sorted(maps.Keys(info.fields)), ", "))
			d.skip()
		case seen[f.number]:
			d.addf(&place{parent: at, name: f.name}, "field is given twice")
			d.skip()
		default:
			seen[f.number] = true
			d.value(&place{parent: at, name: f.name}, v.FieldByIndex(f.index))
		}
	}
}

func (d *decoder) mapping(at *place, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for d.more() {
		name := string(d.key())
		here := &place{parent: at, name: name}
		key := reflect.ValueOf(name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.addf(here, "field is given twice")
			d.skip()
			continue
		}
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(here, element)
		v.SetMapIndex(key, element)
	}
}

func (d *decoder) list(at *place, v reflect.Value) {
	out := reflect.New(v.Type()).Elem()
	n := 0
	for ; d.more(); n++ {
		out.Grow(1)
		out.SetLen(n + 1)
		d.value(&place{parent: at, index: n, indexed: true}, out.Index(n))
	}
	// A copy of the exact length, because configurations stay in memory and
	// growth leaves up to half of the capacity unused.
	exact := reflect.MakeSlice(v.Type(), n, n)
	reflect.Copy(exact, out)
	v.Set(exact)
}

func (d *decoder) text(at *place, into encoding.TextUnmarshaler) {
	if d.peek() != '"' {
		d.mismatch(at, "a string")
		return
	}
	if err := into.UnmarshalText(text(d.scalar())); err != nil {
		d.addf(at, "%v", err)
	}
}

func (d *decoder) scalarValue(at *place, v reflect.Value) {
	first := d.peek()
	switch v.Kind() {
	case reflect.String:
		if first != '"' {
			d.mismatch(at, "a string")
			return
		}
		v.SetString(d.interned(text(d.scalar())))
	case reflect.Bool:
		if first != 't' && first != 'f' {
			d.mismatch(at, "true or false")
			return
		}
		v.SetBool(len(d.scalar()) == len("true"))
	default:
		if first != '-' && (first < '0' || first > '9') {
			d.mismatch(at, "a number")
			return
		}
		d.number(at, string(d.scalar()), v)
	}
}

// interned returns a string with the content of s, if possible one that was
// returned before.
func (d *decoder) interned(s []byte) string {
	if len(s) > maxNameBytes {
		return string(s)
	}
	if known, ok := d.intern[string(s)]; ok {
		return known
	}
	fresh := string(s)
	d.intern[fresh] = fresh
	return fresh
}

func (d *decoder) number(at *place, n string, v reflect.Value) {
	var err error
	switch {
	case v.CanInt():
		var i int64
		if i, err = strconv.ParseInt(n, 10, v.Type().Bits()); err == nil {
			v.SetInt(i)
		}
	case v.CanUint():
		var u uint64
		if u, err = strconv.ParseUint(n, 10, v.Type().Bits()); err == nil {
			v.SetUint(u)
		}
	case v.CanFloat():
		var f float64
		if f, err = strconv.ParseFloat(n, v.Type().Bits()); err == nil {
			v.SetFloat(f)
		}
	default:
		err = fmt.Errorf("type %s is not supported", v.Type())
	}
	if err != nil {
		d.addf(at, "%s is not a valid %s", clip(n), kindName(v.Kind()))
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
