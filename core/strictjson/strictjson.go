// Package strictjson decodes JSON files that are written by hand. It rejects
// unknown and duplicate fields and matches field names exactly. It reports all
// errors of a file at once, each with the path of its field, such as
// services[2].targets[0].slots.
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

// Error describes one error in a file.
type Error struct {
	// Path is the path of the field. It is empty if the error concerns the
	// file as a whole.
	Path string
	// Reason describes the error, with units.
	Reason string
}

// Error implements error.
func (e Error) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Errors holds all errors of a file.
type Errors []Error

// Error implements error. It returns one line for each element.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Addf appends an error with a formatted reason.
func (e *Errors) Addf(path, format string, args ...any) {
	*e = append(*e, Error{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns e, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Defaulter is a type with default values. Decode calls SetDefaults before it
// decodes the fields that are present.
type Defaulter interface{ SetDefaults() }

// Decode decodes one JSON value into the value that into points to. It
// supports structs, maps with string keys, slices, strings, booleans, numbers
// and types that implement encoding.TextUnmarshaler. It rejects null.
func Decode(data []byte, into any) Errors {
	if err := checkSyntax(data); err != nil {
		return Errors{{Reason: err.Error()}}
	}
	d := decoder{scanner: scanner{data: data}, interned: map[string]string{}, types: map[reflect.Type]*typeInfo{}}
	d.decodeValue(nil, reflect.ValueOf(into).Elem())
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

func truncate(s string) string {
	if len(s) <= maxShortString {
		return s
	}
	return s[:maxShortString] + "..."
}

// JoinPath appends a field name to a path. It quotes a name that is empty, too
// long, or has characters that are special in a path or not printable ASCII.
func JoinPath(path, name string) string {
	if !isPlainName(name) {
		name = strconv.Quote(truncate(name))
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isPlainName(name string) bool {
	if name == "" || len(name) > maxShortString {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == '"' || r == '.' || r == '[' || r == ']' || r > '~' {
			return false
		}
	}
	return true
}
