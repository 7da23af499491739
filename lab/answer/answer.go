// Package answer derives the response body of a lab target, called the answer,
// from the request. A caller can thus verify an answer without the target.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// Request holds the fields of a request that determine its answer.
type Request struct {
	Service string
	Method  string
	// URI is the path and the query.
	URI string
	// ID is the value of the Request-Id header.
	ID string
	// BodyHash is the result of Hash for the request body.
	BodyHash string
	// Size is the length of the answer in bytes.
	Size int64
}

// BaseID returns a request ID without its attempt number. All attempts of one
// request have the same answer, because the system may return a stored answer
// of an earlier attempt.
func BaseID(id string) string {
	base, _, _ := strings.Cut(id, "~")
	return base
}

// AttemptID returns the request ID of an attempt.
func AttemptID(base string, attempt int) string { return fmt.Sprintf("%s~%d", base, attempt) }

// Body returns the answer to a request.
func Body(r Request) io.Reader {
	return io.LimitReader(pseudorandom(strings.Join([]string{r.Service, r.Method, r.URI, BaseID(r.ID), r.BodyHash}, "\n")), r.Size)
}

// UploadBody returns the body of a request with the given base ID.
func UploadBody(base string, size int64) io.Reader {
	return io.LimitReader(pseudorandom("upload\n"+base), size)
}

// pseudorandom returns an endless pseudorandom stream that depends only on seed.
func pseudorandom(seed string) io.Reader { return rand.NewChaCha8(sha256.Sum256([]byte(seed))) }

// Hash reads r to its end and returns the hex-encoded SHA-256 hash and the
// number of bytes.
func Hash(r io.Reader) (hash string, size int64, err error) {
	h := sha256.New()
	size, err = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), size, err
}

// TickerLine returns line n of the ticker with the given base ID, without the
// line break.
func TickerLine(base string, n int) string { return fmt.Sprintf("%s %d", base, n) }
