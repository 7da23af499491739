package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/platform"
)

type testPlatform struct {
	dir    string
	server *httptest.Server
}

// startPlatform runs a platform whose splitter returns the whole configuration
// file as the manifest, and one part.
func startPlatform(t *testing.T) *testPlatform {
	s := &testPlatform{dir: t.TempDir()}
	s.write(t, "config", `{"version":1}`)
	s.write(t, "vms", `[]`)
	p, err := platform.New(platform.Options{
		ConfigFile: filepath.Join(s.dir, "config"), VMFile: filepath.Join(s.dir, "vms"),
		ControlFile: filepath.Join(s.dir, "control"), Log: zap.NewNop(),
		Split: func(file []byte) ([]byte, map[string][]byte, error) {
			return file, map[string][]byte{"abc": []byte(`{"part":true}`)}, nil
		},
	})
	assert.NilError(t, err)
	go p.Run(t.Context())
	s.server = httptest.NewServer(p.Handler())
	t.Cleanup(s.server.Close)
	return s
}

// write replaces a file at once. The platform polls its files, and would read an
// empty one between the truncation and the write.
func (s *testPlatform) write(t *testing.T, name, content string) {
	path := filepath.Join(s.dir, name)
	assert.NilError(t, os.WriteFile(path+".new", []byte(content), 0o600))
	assert.NilError(t, os.Rename(path+".new", path))
}

func (s *testPlatform) read(key, query string) (platform.Value, error) {
	var v platform.Value
	response, err := http.Get(s.server.URL + "/v1/values/" + key + query)
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s", response.Status)
	}
	return v, json.NewDecoder(response.Body).Decode(&v)
}

// Guards against a long poll that misses a change.
func TestLongPollReturnsOnChange(t *testing.T) {
	s := startPlatform(t)
	first, err := s.read("manifest", "")
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { s.write(t, "config", `{"version":2}`) })
	second, err := s.read("manifest", fmt.Sprintf("?after=%d&wait=30s", first.Revision))
	assert.NilError(t, err)
	assert.Assert(t, second.Revision > first.Revision)
	assert.Equal(t, string(second.Value), `{"version":2}`)
	part, err := s.read("parts/abc", "")
	assert.NilError(t, err)
	assert.Equal(t, string(part.Value), `{"part":true}`)
}

// Guards against modes without effect: a stale platform must return the
// previous value, and a platform that is down must not answer.
func TestStaleAndDown(t *testing.T) {
	s := startPlatform(t)
	first, err := s.read("manifest", "")
	assert.NilError(t, err)
	s.write(t, "config", `{"version":2}`)
	second, err := s.read("manifest", fmt.Sprintf("?after=%d&wait=30s", first.Revision))
	assert.NilError(t, err)
	s.write(t, "control", "stale")
	s.eventually(t, func() bool { v, err := s.read("manifest", ""); return err == nil && v.Revision == first.Revision })
	s.write(t, "control", "down")
	s.eventually(t, func() bool { _, err := s.read("manifest", ""); return err != nil })
	s.write(t, "control", "up")
	s.eventually(t, func() bool { v, err := s.read("manifest", ""); return err == nil && v.Revision == second.Revision })
}

func (s *testPlatform) eventually(t *testing.T, check func() bool) {
	for range 200 {
		if check() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the platform did not apply the mode of its control file")
}
