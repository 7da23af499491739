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

// maxShortString is the length, in bytes, up to which strings are interned and
// up to which error messages quote text of the file.
const maxShortString = 64

// fieldPath is the path of a value, as a linked list up to the root. It is
// formatted only for error messages.
type fieldPath struct {
	parent *fieldPath
	// name is the name of a field. If indexed is set, the value is the element
	// of a list at index instead.
	name    string
	index   int
	indexed bool
}

// String formats the path, for example as services[2].targets[0].slots.
func (p *fieldPath) String() string {
	switch {
	case p == nil:
		return ""
	case p.indexed:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	default:
		return JoinPath(p.parent.String(), p.name)
	}
}

// typeInfo caches the results of reflection on a type.
type typeInfo struct {
	hasDefaults, textUnmarshaler bool
	// fields holds the fields of a struct by their JSON names. It includes the
	// fields of embedded structs.
	fields map[string]*fieldInfo
}

type fieldInfo struct {
	name    string
	index   []int
	ordinal int
}

type decoder struct {
	scanner
	errs Errors
	// interned holds one copy of each short string, because many repeat, such
	// as the names of data centres.
	interned map[string]string
	types    map[reflect.Type]*typeInfo
}

func (d *decoder) typeInfoOf(t reflect.Type) *typeInfo {
	if known, ok := d.types[t]; ok {
		return known
	}
	pointer := reflect.PointerTo(t)
	info := &typeInfo{
		hasDefaults:     pointer.Implements(reflect.TypeFor[Defaulter]()),
		textUnmarshaler: pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]()),
	}
	if t.Kind() == reflect.Struct {
		info.fields = structFields(t)
	}
	d.types[t] = info
	return info
}

func structFields(t reflect.Type) map[string]*fieldInfo {
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

func (d *decoder) addf(path *fieldPath, format string, args ...any) {
	d.errs.Addf(path.String(), format, args...)
}

// decodeValue decodes the next value into v.
func (d *decoder) decodeValue(path *fieldPath, v reflect.Value) {
	info := d.typeInfoOf(v.Type())
	if info.hasDefaults {
		v.Addr().Interface().(Defaulter).SetDefaults()
	}
	if info.textUnmarshaler {
		d.decodeText(path, v.Addr().Interface().(encoding.TextUnmarshaler))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if d.enter(path, '{', "an object") {
			d.decodeStruct(path, v, info)
		}
	case reflect.Map:
		if d.enter(path, '{', "an object") {
			d.decodeMap(path, v)
		}
	case reflect.Slice:
		if d.enter(path, '[', "a list") {
			d.decodeSlice(path, v)
		}
	default:
		d.decodeScalar(path, v)
	}
}

// enter moves into the next value if it starts with first, which opens a list
// or an object. Otherwise it reports the value and skips it.
func (d *decoder) enter(path *fieldPath, first byte, want string) bool {
	if d.peek() == first {
		d.pos++
		return true
	}
	d.reportMismatch(path, want)
	return false
}

// reportMismatch adds an error that names the next value and the wanted type,
// and skips the value.
func (d *decoder) reportMismatch(path *fieldPath, want string) {
	d.peek()
	start := d.pos
	d.skip()
	d.addf(path, "%s, want %s", describeToken(d.data[start:d.pos]), want)
}

func (d *decoder) decodeStruct(path *fieldPath, v reflect.Value, info *typeInfo) {
	var inline [64]bool
	seen := inline[:]
	if len(info.fields) > len(inline) {
		seen = make([]bool, len(info.fields))
	}
	for d.more() {
		name := d.key()
		f, known := info.fields[string(name)]
		switch {
		case !known:
			d.addf(&fieldPath{parent: path, name: string(name)}, "unknown field, want one of: %s",
				strings.Join(slices.Sorted(maps.Keys(info.fields)), ", "))
			d.skip()
		case seen[f.ordinal]:
			d.addf(&fieldPath{parent: path, name: f.name}, "field is given twice")
			d.skip()
		default:
			seen[f.ordinal] = true
			d.decodeValue(&fieldPath{parent: path, name: f.name}, v.FieldByIndex(f.index))
		}
	}
}

func (d *decoder) decodeMap(path *fieldPath, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for d.more() {
		name := string(d.key())
		entryPath := &fieldPath{parent: path, name: name}
		key := reflect.ValueOf(name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.addf(entryPath, "field is given twice")
			d.skip()
			continue
		}
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(entryPath, element)
		v.SetMapIndex(key, element)
	}
}

func (d *decoder) decodeSlice(path *fieldPath, v reflect.Value) {
	out := reflect.New(v.Type()).Elem()
	n := 0
	for ; d.more(); n++ {
		out.Grow(1)
		out.SetLen(n + 1)
		d.decodeValue(&fieldPath{parent: path, index: n, indexed: true}, out.Index(n))
	}
	// The result is a copy of the exact length, because configurations stay in
	// memory and growth leaves up to half of the capacity unused.
	exact := reflect.MakeSlice(v.Type(), n, n)
	reflect.Copy(exact, out)
	v.Set(exact)
}

func (d *decoder) decodeText(path *fieldPath, into encoding.TextUnmarshaler) {
	if d.peek() != '"' {
		d.reportMismatch(path, "a string")
		return
	}
	if err := into.UnmarshalText(unquote(d.scalar())); err != nil {
		d.addf(path, "%v", err)
	}
}

func (d *decoder) decodeScalar(path *fieldPath, v reflect.Value) {
	first := d.peek()
	switch v.Kind() {
	case reflect.String:
		if first != '"' {
			d.reportMismatch(path, "a string")
			return
		}
		v.SetString(d.intern(unquote(d.scalar())))
	case reflect.Bool:
		if first != 't' && first != 'f' {
			d.reportMismatch(path, "true or false")
			return
		}
		v.SetBool(len(d.scalar()) == len("true"))
	default:
		if first != '-' && (first < '0' || first > '9') {
			d.reportMismatch(path, "a number")
			return
		}
		d.decodeNumber(path, string(d.scalar()), v)
	}
}

// intern converts s to a string. For short strings with equal content it
// returns the same string each time.
func (d *decoder) intern(s []byte) string {
	if len(s) > maxShortString {
		return string(s)
	}
	if known, ok := d.interned[string(s)]; ok {
		return known
	}
	stored := string(s)
	d.interned[stored] = stored
	return stored
}

func (d *decoder) decodeNumber(path *fieldPath, n string, v reflect.Value) {
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
		d.addf(path, "%s is not a valid %s", truncate(n), kindName(v.Kind()))
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
