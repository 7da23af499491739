package fleetsync

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a peer whose malformed response stops the process: an invalid
// address makes the index of the view panic.
func TestMalformedAnswerOfPeer(t *testing.T) {
	for name, answer := range map[string]string{
		"changes[0].target.address":  `{"revision":5,"changes":[{"id":"a","revision":5,"target":{"id":"a","service":"s","address":"","state":"ready"}}]}`,
		"changes[1].target.address":  `{"revision":5,"changes":[{"id":"b","revision":4},{"id":"a","revision":5,"target":{"id":"a","address":"[::1]:80","state":"ready"}}]}`,
		"changes[0].target.state":    `{"revision":5,"changes":[{"id":"a","revision":5,"target":{"id":"a","address":"10.0.0.1:80","state":"x"}}]}`,
		"changes[0].id":              `{"revision":5,"changes":[{"revision":5}]}`,
		"config.routes[0].address":   `{"revision":5,"config":{"version":2,"routes":[{"name":"r"}]}}`,
		"patch.set[0].address":       `{"revision":5,"patch":{"base":1,"version":2,"set":[{"name":"r","address":"[::1]:1"}]}}`,
		"unexpected EOF":             `{"revision":5,"changes":[{"id":"a"`,
		"confirmed_ms":               `{"revision":5,"confirmed_ms":-1}`,
		"invalid character 'o' in l": `no`,
	} {
		t.Run(name, func(t *testing.T) {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write([]byte(answer))
				assert.NilError(t, err)
			}))
			defer peer.Close()
			f := newFixture(0)
			err := f.pull(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://")))
			assert.ErrorContains(t, err, name)
			f.Lock.Lock()
			defer f.Lock.Unlock()
			assert.Equal(t, f.View.Revision(), uint64(0))
		})
	}
}

// Guards against a peer of an earlier release that tells a target with numbers that
// overflow, and against losing the other targets of its answer.
func TestUnusableTargetOfPeer(t *testing.T) {
	const answer = `{"revision":7,"full":true,"config":{"version":1},"config_revision":2,"changes":[
		{"id":"a","revision":6,"target":{"id":"a","service":"s","address":"10.0.0.1:80","data_centre":"dc","slots":1,"state":"ready","born":1}},
		{"id":"x","revision":7,"target":{"id":"x","service":"s","address":"10.0.0.2:80","data_centre":"dc","slots":9223372036854775807,"state":"ready","born":1}}]}`
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(answer))
		assert.NilError(t, err)
	}))
	defer peer.Close()
	f := newFixture(0)
	assert.NilError(t, f.pull(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))))
	f.Lock.Lock()
	defer f.Lock.Unlock()
	assert.Equal(t, f.View.Revision(), uint64(7))
	targets := f.View.Targets("s")
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].ID, "a")
}
