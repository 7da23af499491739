package agent

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/verdict"
)

// rawHandler writes raw bytes as the response and closes the connection.
func rawHandler(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}
}

// Guards against a truncated answer that looks complete to its caller, however
// the target ends it.
func TestAnswerThatEndsEarlyIsNoSuccess(t *testing.T) {
	for name, raw := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"no framing": "HTTP/1.1 200 OK\r\n\r\nhalf",
		"old":        "HTTP/1.0 200 OK\r\n\r\nhalf",
		"header":     "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, rawHandler(raw))
			response, err := c.client().Post(c.url("/hold"), "text/plain", nil)
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil || response.StatusCode >= 500, "status %d with a complete body", response.StatusCode)
			if err == nil {
				assert.Equal(t, response.Header.Get(verdict.Header), verdict.MayHaveRun.String())
			}
		})
	}
}

// Guards against a duplicate of an answer that is taken for the answer to the
// next request on the same connection.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	first := true
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		body := "two"
		if first {
			first, body = false, "one"
		}
		rawHandler(answer+body+answer+body)(w, r)
	})
	for _, want := range []string{"one", "two", "two"} {
		status, _, body := post(t, c, "/hold", 10)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, want)
	}
}
