package ticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of random sequences from rapid's default of 100,
// which missed a fault that 1,000 sequences find. The command line overrides
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
