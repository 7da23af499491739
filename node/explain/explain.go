// Package explain tells operators afterwards what happened to a flow, and
// beforehand what a new version of the routes changes.
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

// maxLine is over the length of any log line, in bytes.
const maxLine = 1 << 20

// line is one log line with the fields that a story shows.
type line struct {
	time, name, message, text string
	aboutFlow                 bool
}

// shown are the fields of a line that a story shows, in order.
var shown = []string{telemetry.KeyFlow, "number", telemetry.KeyReason, "value", telemetry.KeyPeer, "revision", telemetry.KeyVersion,
	"view_age_ms", "previous_version", "from", "left_out", telemetry.KeyError}

// WriteTimeline writes the story of a flow from log files. Lines that are no JSON, such
// as those of other programs, are passed over; what stands before the JSON of a
// line is too.
func WriteTimeline(out io.Writer, flow string, context bool, files []string) error {
	var lines []line
	for _, file := range files {
		read, err := readFile(file, flow)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.time, b.time) })
	return story(out, lines, flow, context)
}

func readFile(file, flow string) ([]line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	var lines []line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text(), flow); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

func parse(text, flow string) (l line, ok bool) {
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
	l = line{time: get(telemetry.KeyTime), name: get(telemetry.KeyName), message: get(telemetry.KeyMessage)}
	l.aboutFlow = strings.Contains(get(telemetry.KeyFlow), flow)
	for _, key := range shown {
		if v := get(key); v != "" {
			l.text += " " + key + "=" + v
		}
	}
	return l, l.message != ""
}

func story(out io.Writer, lines []line, flow string, context bool) error {
	involved, first, last := map[string]bool{}, "", ""
	for _, l := range lines {
		if l.aboutFlow {
			involved[l.name] = true
			if first == "" {
				first = l.time
			}
			last = l.time
		}
	}
	if len(involved) == 0 {
		return trace.NotFound("no line about flow %s; lines of one kind are sampled, and left_out counts what is missing", flow)
	}
	for _, l := range lines {
		about := l.aboutFlow || context && involved[l.name] && !strings.Contains(l.text, telemetry.KeyFlow+"=") && l.time >= first && l.time <= last
		if !about {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s  %-24s %-16s%s\n", l.time, l.name, l.message, l.text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// DiffRoutes writes what changes between two versions, and reports whether open
// flows lose their route or new ones go elsewhere.
func DiffRoutes(out io.Writer, before, after *fleet.Config) (dangerous bool) {
	fmt.Fprintf(out, "version %d -> %d\n", before.Version, after.Version)
	if after.Version <= before.Version {
		fmt.Fprintln(out, "  the version does not go up: no process will adopt it")
		dangerous = true
	}
	p := fleet.Diff(before, after)
	old := map[string]fleet.Route{}
	for _, r := range before.Routes {
		old[r.Address.String()] = r
	}
	for _, address := range p.Removed {
		fmt.Fprintf(out, "- %s (service %s): new flows are refused, open ones may end\n", address, old[address.String()].Service)
		dangerous = true
	}
	for _, r := range p.Set {
		was, there := old[r.Address.String()]
		switch {
		case !there:
			fmt.Fprintf(out, "+ %s (service %s)\n", r.Address, r.Service)
		case was.Service != r.Service:
			fmt.Fprintf(out, "~ %s: service %s -> %s\n", r.Address, was.Service, r.Service)
			dangerous = true
		default:
			fmt.Fprintf(out, "~ %s: timeout %d -> %d ms, objective %d -> %d ms, kind %s -> %s\n", r.Address, was.TimeoutMS, r.TimeoutMS,
				was.ObjectiveMS, r.ObjectiveMS, was.Kind, r.Kind)
		}
	}
	return dangerous
}
