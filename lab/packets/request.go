package packets

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Request is what a caller asks for. It travels as one JSON line, padded to
// the size that the caller chose.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// WorkMS is the time for which the request holds a slot.
	WorkMS float64 `json:"work_ms"`
	// AnswerSize is the size of the answer's body in bytes.
	AnswerSize int `json:"answer"`
	// KeepOpen says that the caller keeps the flow for another request.
	KeepOpen bool   `json:"more,omitempty"`
	Padding  string `json:"pad,omitempty"`
}

// Response is the head of an answer, one JSON line before the body.
type Response struct {
	ID     string `json:"id"`
	Target string `json:"target"`
	// NotRun says that the target has not run the request.
	NotRun bool `json:"not_run,omitempty"`
	Length int  `json:"length"`
}

// line returns the first line of a stream, and what follows it.
func line(b []byte) (first, rest []byte, ok bool) {
	return bytes.Cut(b, []byte{'\n'})
}

func encodeLine(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("packets: %v", err))
	}
	return append(b, '\n')
}

// body is the body of an answer: bytes that follow from the request's ID.
func body(id string, n int) []byte {
	return bytes.Repeat([]byte(id+"."), n/(len(id)+1)+1)[:n]
}
