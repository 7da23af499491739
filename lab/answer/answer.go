// Package answer defines the answer of a lab target as a function of the
// request, so that a caller can check an answer without asking the target.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// Request is what an answer depends on.
type Request struct {
	Service string
	Method  string
	// URI is the path and the query.
	URI string
	// ID is the value of the Request-Id header.
	ID string
	// BodyHash is the result of Hash for the request body.
	BodyHash string
	// Size is the length of the answer.
	Size int64
}

// BaseID strips the attempt from a request ID. All attempts of one request have
// the same answer, because a kept answer may be that of an earlier attempt.
func BaseID(id string) string {
	base, _, _ := strings.Cut(id, "~")
	return base
}

// AttemptID returns the request ID of one attempt.
func AttemptID(base string, attempt int) string { return fmt.Sprintf("%s~%d", base, attempt) }

// Body returns the answer.
func Body(r Request) io.Reader {
	return io.LimitReader(random(strings.Join([]string{r.Service, r.Method, r.URI, BaseID(r.ID), r.BodyHash}, "\n")), r.Size)
}

// UploadBody returns the body of a request with the given base ID.
func UploadBody(base string, size int64) io.Reader {
	return io.LimitReader(random("upload\n"+base), size)
}

// random returns an endless stream that depends only on seed.
func random(seed string) io.Reader { return rand.NewChaCha8(sha256.Sum256([]byte(seed))) }

// Hash returns the hash of everything that r yields, and the number of bytes.
func Hash(r io.Reader) (hash string, size int64, err error) {
	h := sha256.New()
	size, err = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), size, err
}

// TickerLine returns line n of a ticker.
func TickerLine(base string, n int) string { return fmt.Sprintf("%s %d", base, n) }
