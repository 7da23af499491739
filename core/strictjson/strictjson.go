// Package strictjson decodes JSON files that people write. It refuses unknown
// and duplicate fields, matches field names exactly, and reports every error
// at once with the path of its field, such as services[2].targets[0].slots.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
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

// Decode decodes one JSON value into the value that into points to. Supported
// are structs, maps with string keys, slices, strings, booleans, numbers and
// types that implement encoding.TextUnmarshaler. A null is refused.
func Decode(data []byte, into any) Errors {
	if err := checkSyntax(data); err != nil {
		return Errors{{Reason: err.Error()}}
	}
	d := decoder{scanner: scanner{data: data}, intern: map[string]string{}, types: map[reflect.Type]*typeInfo{}}
	d.value(nil, reflect.ValueOf(into).Elem())
	return d.errs
}

func checkSyntax(data []byte) error {
	if json.Valid(data) {
		return nil
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return io.ErrUnexpectedEOF
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Errorf("line %d, column %d: %w", line, max(column, 1), err)
}

func clip(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes] + "..."
}

// JoinPath appends a field name to a path. Names that are not plain are quoted.
func JoinPath(path, name string) string {
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
