// Command standin2 runs the scripts of the second review: a small deployment of the
// system as processes on loopback addresses, with small stand-ins for the store, the
// routers, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(f *fleet, trouble bool) error{
	"stale-table":  staleTable,
	"stray-probes": strayProbes,
	"split-budget": splitBudget,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names. The second one is the root of the
// repository, the third the folder for record.txt.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT DIR")
		return exitNotRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop(os.Getenv("KEEP") != "")
	if err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	if broken := rec.summary(); broken > 0 {
		fmt.Printf("%d broken\n", broken)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
