package packets

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Request is a request of a caller. It is sent as one JSON line, padded to the
// size that the caller chooses.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// WorkMS is the time for which the request holds a slot of a target with
	// speed 1.
	WorkMS float64 `json:"work_ms"`
	// AnswerSize is the length of the answer's body in bytes.
	AnswerSize int `json:"answer"`
	// KeepOpen says that the caller keeps the flow open for another request.
	KeepOpen bool   `json:"more,omitempty"`
	Padding  string `json:"pad,omitempty"`
}

// Response is the header of an answer: one JSON line that precedes the body.
type Response struct {
	ID     string `json:"id"`
	Target string `json:"target"`
	// NotRun says that the target rejected the request and has not run it.
	NotRun bool `json:"not_run,omitempty"`
	Length int  `json:"length"`
}

// cutLine splits b after its first line. It reports whether the line is
// complete.
func cutLine(b []byte) (first, rest []byte, ok bool) {
	return bytes.Cut(b, []byte{'\n'})
}

func encodeLine(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("packets: encode JSON line: %v", err))
	}
	return append(b, '\n')
}

// answerBody returns the n bytes of an answer's body, which are derived from
// the request's ID.
func answerBody(id string, n int) []byte {
	return bytes.Repeat([]byte(id+"."), n/(len(id)+1)+1)[:n]
}
