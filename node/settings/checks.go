package settings

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"trefoilweir.example/core/strictjson"
)

func requireText(e *strictjson.Errors, path, value string) {
	if value == "" {
		e.Addf(path, "is missing or empty")
	}
}

// requireAddress accepts port 0, for which the operating system chooses a port.
func requireAddress(e *strictjson.Errors, path string, a netip.AddrPort) {
	if !a.IsValid() {
		e.Addf(path, "is missing, want address:port")
	}
}

func checkMilliseconds(e *strictjson.Errors, path string, ms, maxMS int) {
	if ms < 0 || ms > maxMS {
		e.Addf(path, "%d ms, want 0 to %d ms", ms, maxMS)
	}
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
