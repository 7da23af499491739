package strictjson

import (
	"encoding/json"
	"strconv"
)

// scanner walks over JSON text whose syntax was checked before. It exists
// because the tokens of encoding/json cost an allocation each, and a large
// configuration has millions of them.
type scanner struct {
	data []byte
	pos  int
}

// peek returns the first byte of the next token.
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

// more reports whether a list or object goes on, and moves to its next
// element or past its end.
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

// scalar returns the text of a string with its quotes, of a number, or of a
// literal.
func (s *scanner) scalar() []byte {
	first := s.peek()
	start := s.pos
	if first != '"' {
		for s.pos < len(s.data) && !ends(s.data[s.pos]) {
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

func ends(b byte) bool {
	switch b {
	case ',', ']', '}', ' ', '\t', '\n', '\r':
		return true
	default:
		return false
	}
}

// key returns the name of the next field of an object.
func (s *scanner) key() []byte {
	name := text(s.scalar())
	s.peek()
	s.pos++ // colon
	return name
}

// skip moves past a value of any kind.
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

// text returns the content of a string token.
func text(token []byte) []byte {
	content := token[1 : len(token)-1]
	for _, b := range content {
		if b == '\\' || b >= 0x80 {
			// Escapes and invalid UTF-8 are rare enough for the general
			// decoder.
			var s string
			if json.Unmarshal(token, &s) == nil {
				return []byte(s)
			}
		}
	}
	return content
}

// describe names a token for an error message. A list or object is named by
// its first byte.
func describe(token []byte) string {
	switch first := token[0]; {
	case first == '{':
		return "an object"
	case first == '[':
		return "a list"
	case first == '"':
		return "the string " + strconv.Quote(clip(string(text(token))))
	case first == '-' || first >= '0' && first <= '9':
		return "the number " + clip(string(token))
	default:
		return string(token)
	}
}
