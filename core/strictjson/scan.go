package strictjson

import (
	"encoding/json"
	"strconv"
)

// scanner reads JSON text whose syntax was checked before. It replaces the
// tokenizer of encoding/json, which allocates for each token: a large
// configuration has millions of tokens.
type scanner struct {
	data []byte
	pos  int
}

// peek skips white space and returns the first byte of the next token.
func (s *scanner) peek() byte {
	for {
		switch s.data[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return s.data[s.pos]
		}
	}
}

// more reports whether the current list or object has another element. It
// moves to that element, or past the end of the list or object.
func (s *scanner) more() bool {
	switch s.peek() {
	case ',':
		s.pos++
		return true
	case ']', '}':
		s.pos++
		return false
	default:
		return true
	}
}

// scalar reads a string, a number or a literal and returns its token. The
// token of a string includes the quotes.
func (s *scanner) scalar() []byte {
	first := s.peek()
	start := s.pos
	if first != '"' {
		for s.pos < len(s.data) && !endsLiteral(s.data[s.pos]) {
			s.pos++
		}
		return s.data[start:s.pos]
	}
	for s.pos++; s.data[s.pos] != '"'; s.pos++ {
		if s.data[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos++
	return s.data[start:s.pos]
}

func endsLiteral(b byte) bool {
	switch b {
	case ',', ']', '}', ' ', '\t', '\n', '\r':
		return true
	default:
		return false
	}
}

// key reads the next field name of an object and the colon after it, and
// returns the name.
func (s *scanner) key() []byte {
	name := unquote(s.scalar())
	s.peek()
	s.pos++ // colon
	return name
}

// skip moves past the next value of any type.
func (s *scanner) skip() {
	depth := 0
	for {
		switch s.peek() {
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		case ',', ':':
			s.pos++
		default:
			s.scalar()
		}
		if depth == 0 {
			return
		}
	}
}

// unquote returns the decoded content of a string token.
func unquote(token []byte) []byte {
	content := token[1 : len(token)-1]
	for _, b := range content {
		if b == '\\' || b >= 0x80 {
			// Escapes and bytes outside ASCII are rare, so encoding/json
			// decodes them.
			var s string
			if json.Unmarshal(token, &s) == nil {
				return []byte(s)
			}
		}
	}
	return content
}

// describeToken describes a value for an error message. Only the type of a
// list or an object is described.
func describeToken(token []byte) string {
	switch first := token[0]; {
	case first == '{':
		return "an object"
	case first == '[':
		return "a list"
	case first == '"':
		return "the string " + strconv.Quote(truncate(string(unquote(token))))
	case first == '-' || first >= '0' && first <= '9':
		return "the number " + truncate(string(token))
	default:
		return string(token)
	}
}
