// The program standin3 plays the cases of the third review that are scripts. It
// starts the system's processes with the commands of the deploy file, and stands in
// for clients, servers, routers and the platform's store. It follows PROTOCOL.md.
// Its exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held   = 0
	broken = 1
	cannot = 2
)

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*deployment, bool) (int, error){"stale-config": staleConfig, "stale-drain": staleDrain, "stray-probes": strayProbes}
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return cannot
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	d := &deployment{dir: dir, zones: []string{"zone-a", "zone-b", "zone-c"}, store: newStore(), rec: newRecord(), bounds: smallBounds()}
	d.octet = freeOctet()
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(cannot)
	}()
	result, err := run(d, trouble)
	if err != nil {
		d.rec.event("cannot run: %v", err)
		result = cannot
	}
	words := map[int]string{held: "the rule held", broken: "the rule was broken", cannot: "the case could not run"}
	d.rec.event("%s", words[result])
	if err := d.rec.write(*file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	fmt.Println(words[result])
	return result
}
