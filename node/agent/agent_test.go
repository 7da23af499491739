package agent

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/verdict"
)

// Guards against a request or an answer whose header or body changes on its way
// through the agent.
func TestRequestReachesTargetAndReturns(t *testing.T) {
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Answer", r.Header.Get("X-Question"))
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s %d", r.Method, r.RequestURI, r.Host, len(body))
	})
	for _, size := range []int{0, 10, maxReplayBytes + 1, 1 << 20} {
		request, err := http.NewRequest(http.MethodPost, c.url("/hold/a%2Fb?x=1"), strings.NewReader(strings.Repeat("a", size)))
		assert.NilError(t, err)
		request.Header.Set("X-Question", "42")
		request.Host = testAuthority
		response, err := c.client().Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprintf("POST /hold/a%%2Fb?x=1 %s %d", testAuthority, size))
		assert.Equal(t, response.StatusCode, http.StatusCreated)
		assert.Equal(t, response.Header.Get("X-Answer"), "42")
		assert.Equal(t, response.Header.Get(verdict.Header), verdict.Ran.String())
	}
}

// Guards against ticker events that are held back in a buffer.
func TestTickerIsStreamed(t *testing.T) {
	next := make(chan string)
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		writeEvents(w, r, next)
	})
	response, err := c.client().Get(c.url("/ticker"))
	assert.NilError(t, err)
	for i := range 3 {
		event := fmt.Sprintf("event %d\n", i)
		next <- event
		got := make([]byte, len(event))
		_, err := io.ReadFull(response.Body, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), event)
	}
	close(next)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

// writeEvents writes events until the channel is closed or the caller is gone.
func writeEvents(w http.ResponseWriter, r *http.Request, events <-chan string) {
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return
			}
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
