package placement

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of random sequences above the library's default of
// 100, because 1,000 sequences find a fault that 100 miss. The flag on the
// command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
