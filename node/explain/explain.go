// Package explain shows operators what the logs of several processes say about
// a flow, and what changes between two versions of the routes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

// maxLineSize bounds a log line, in bytes. Every log line is shorter.
const maxLineSize = 1 << 20

// logLine is one log line with the fields that a timeline shows.
type logLine struct {
	time, name, message, text string
	aboutFlow                 bool
}

// shownKeys are the keys of the fields that a timeline shows, in order.
var shownKeys = []string{telemetry.KeyFlow, "number", telemetry.KeyReason, "value", telemetry.KeyPeer, "revision", telemetry.KeyVersion,
	"view_age_ms", "previous_version", "from", "left_out", telemetry.KeyError}

// WriteTimeline writes the lines of log files that are about a flow, ordered by
// time. A line is about the flow if its flow field contains the text flow. If
// context is set, it also writes the lines without a flow field that the same
// processes logged between the first and the last line about the flow. Lines
// without JSON, such as those of other programs, are skipped, and so is text
// before the JSON object of a line.
func WriteTimeline(out io.Writer, flow string, context bool, files []string) error {
	var lines []logLine
	for _, file := range files {
		read, err := readFile(file, flow)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	return writeLines(out, lines, flow, context)
}

func readFile(file, flow string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text(), flow); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

func parseLine(text, flow string) (l logLine, ok bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return l, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[begin:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return l, false
	}
	get := func(key string) string {
		if v, ok := fields[key]; ok {
			return fmt.Sprint(v)
		}
		return ""
	}
	l = logLine{time: get(telemetry.KeyTime), name: get(telemetry.KeyName), message: get(telemetry.KeyMessage)}
	l.aboutFlow = strings.Contains(get(telemetry.KeyFlow), flow)
	for _, key := range shownKeys {
		if v := get(key); v != "" {
			l.text += " " + key + "=" + v
		}
	}
	return l, l.message != ""
}

func writeLines(out io.Writer, lines []logLine, flow string, context bool) error {
	processes, first, last := map[string]bool{}, "", ""
	for _, l := range lines {
		if l.aboutFlow {
			processes[l.name] = true
			if first == "" {
				first = l.time
			}
			last = l.time
		}
	}
	if len(processes) == 0 {
		return trace.NotFound("no line about flow %s; log lines are rate limited per kind, and the field left_out counts omitted lines", flow)
	}
	for _, l := range lines {
		show := l.aboutFlow || context && processes[l.name] && !strings.Contains(l.text, telemetry.KeyFlow+"=") && l.time >= first && l.time <= last
		if !show {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s  %-24s %-16s%s\n", l.time, l.name, l.message, l.text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// DiffRoutes writes what changes between two versions of the routes, and reports
// whether the change is dangerous: a route is removed or moves to another
// service, or the version does not increase.
func DiffRoutes(out io.Writer, before, after *fleet.Config) (dangerous bool) {
	fmt.Fprintf(out, "version %d -> %d\n", before.Version, after.Version)
	if after.Version <= before.Version {
		fmt.Fprintln(out, "  the version does not increase: no process adopts it")
		dangerous = true
	}
	patch := fleet.Diff(before, after)
	old := map[string]fleet.Route{}
	for _, r := range before.Routes {
		old[r.Address.String()] = r
	}
	for _, address := range patch.Removed {
		fmt.Fprintf(out, "- %s (service %s): new flows are refused, open flows may end\n", address, old[address.String()].Service)
		dangerous = true
	}
	for _, r := range patch.Set {
		previous, existed := old[r.Address.String()]
		switch {
		case !existed:
			fmt.Fprintf(out, "+ %s (service %s)\n", r.Address, r.Service)
		case previous.Service != r.Service:
			fmt.Fprintf(out, "~ %s: service %s -> %s\n", r.Address, previous.Service, r.Service)
			dangerous = true
		default:
			fmt.Fprintf(out, "~ %s: timeout %d -> %d ms, objective %d -> %d ms, kind %s -> %s\n", r.Address, previous.TimeoutMS, r.TimeoutMS,
				previous.ObjectiveMS, r.ObjectiveMS, previous.Kind, r.Kind)
		}
	}
	return dangerous
}
