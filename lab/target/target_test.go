package target_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/answer"
	"trefoilweir.example/lab/target"
)

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) entries(t *testing.T) []target.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entries []target.Entry
	for _, line := range strings.Split(strings.TrimSpace(b.String()), "\n") {
		var e target.Entry
		assert.NilError(t, json.Unmarshal([]byte(line), &e))
		entries = append(entries, e)
	}
	return entries
}

func start(t *testing.T, options target.Options) (*httptest.Server, *lockedBuffer) {
	log := &lockedBuffer{}
	options.Name, options.Service, options.Log = "booking-1", "booking", log
	server := httptest.NewServer(target.New(options))
	t.Cleanup(server.Close)
	return server, log
}

func post(t *testing.T, url, id, body string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// Guards against an answer that a caller cannot verify from its request, and
// against a run that is not in the log.
func TestAnswerIsAFunctionOfTheRequest(t *testing.T) {
	server, journal := start(t, target.Options{Slots: 2, Speed: 1})
	response := post(t, server.URL+"/hold?bytes=5000&work_ms=1", "r1~2", "seat 7")
	got, size, err := answer.Hash(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, size, int64(5000))
	bodyHash, _, _ := answer.Hash(strings.NewReader("seat 7"))
	want, _, _ := answer.Hash(answer.Body(answer.Request{
		Service: "booking", Method: "POST", URI: "/hold?bytes=5000&work_ms=1", ID: "r1~1", BodyHash: bodyHash, Size: 5000,
	}))
	assert.Equal(t, got, want)
	server.Close()
	entries := journal.entries(t)
	assert.Equal(t, len(entries), 3)
	assert.Equal(t, entries[2].Event, target.End)
	assert.Assert(t, entries[2].Complete)
}

// Guards against a shed request with a Start entry in the log.
func TestShedRequestDoesNotRun(t *testing.T) {
	server, journal := start(t, target.Options{Slots: 1, Speed: 1, ShedAt: 1})
	var group sync.WaitGroup
	codes := make(chan int, 8)
	for range 8 {
		group.Go(func() { codes <- post(t, server.URL+"/map?work_ms=300", "x", "").StatusCode })
	}
	group.Wait()
	close(codes)
	ok := 0
	for code := range codes {
		if code == http.StatusOK {
			ok++
		}
	}
	server.Close()
	starts := 0
	for _, e := range journal.entries(t) {
		if e.Event == target.Start {
			starts++
		}
	}
	assert.Equal(t, ok, starts)
	assert.Assert(t, ok < 8)
}

// Guards against a ticker that holds a slot, and against one that keeps the
// server from closing after its caller has cancelled the request.
func TestTickerHoldsNoSlot(t *testing.T) {
	server, _ := start(t, target.Options{Slots: 1, Speed: 1})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/ticker?interval=5ms", nil)
	assert.NilError(t, err)
	request.Header.Set("Request-Id", "t1~1")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for n := range 3 {
		assert.Assert(t, lines.Scan())
		assert.Equal(t, lines.Text(), answer.TickerLine("t1", n))
	}
	_, err = io.Copy(io.Discard, post(t, server.URL+"/map?bytes=10", "m1", "").Body)
	assert.NilError(t, err)
	cancel()
}

// Guards against a load report that is newer than ReportAge.
func TestLoadReportIsOld(t *testing.T) {
	server, _ := start(t, target.Options{Slots: 4, Speed: 1, ReportAge: time.Hour})
	read := func() string {
		response, err := http.Get(server.URL + target.LoadPath)
		assert.NilError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(data)
	}
	first := read()
	go post(t, server.URL+"/map?work_ms=200", "x", "")
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, read(), first)
}
