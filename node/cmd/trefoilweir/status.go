package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/node/ops"
	"trefoilweir.example/node/peer"
	"trefoilweir.example/node/process"
	"trefoilweir.example/node/settings"
)

const (
	// statusTimeout bounds a status request.
	statusTimeout = 5 * time.Second
	// maxStatusSize bounds the response, in bytes.
	maxStatusSize = 16 << 20
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of a process, read from its operator port",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS:PORT` of the operator port", Required: true},
			&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` with the cluster's certificate authority", Required: true},
			&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` with the operator's certificate", Required: true},
			&cli.StringFlag{Name: "key", Usage: "PEM `FILE` with the operator's key", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print the status as JSON"},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	data, err := fetchStatus(ctx, c.String("address"), settings.TLS{CA: c.String("ca"), Certificate: c.String("certificate"), Key: c.String("key")})
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(data)
		return trace.Wrap(err)
	}
	return trace.Wrap(printStatus(c.Root().Writer, data))
}

func fetchStatus(ctx context.Context, address string, files settings.TLS) ([]byte, error) {
	_, clientTLS, err := peer.LoadTLS(files)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	transport := &http.Transport{TLSClientConfig: clientTLS, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+ops.PathStatus, nil)
	if err != nil {
		return nil, trace.BadParameter("address %q: %v", address, err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "request to operator port %s failed: %v", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStatusSize))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "operator port %s responded with %s: %s", address, response.Status, data)
	}
	return data, nil
}

// printStatus prints a status as text. It prints the detail of the role by field
// name, so that new fields appear without a change here.
func printStatus(w io.Writer, data []byte) error {
	var s process.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return trace.BadParameter("status response cannot be decoded: %v", err)
	}
	health := "healthy"
	if !s.Healthy {
		health = "NOT HEALTHY: " + s.Reason
	}
	c := s.Configuration
	source := "reads the platform"
	if !c.Reader {
		source = fmt.Sprintf("follows %v", c.Parents)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s in %s: %s, up %s\n", s.Role, s.Name, s.DataCentre, health, time.Duration(s.UptimeSeconds)*time.Second)
	fmt.Fprintf(&out, "configuration: version %d (%.12s), preset %s, %s, %d VMs known\n", c.Version, c.Hash, c.Preset, source, c.VMs)
	printDetail(&out, "", s.Detail)
	_, err := w.Write(out.Bytes())
	return err
}

func printDetail(out io.Writer, indent string, value any) {
	switch v := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if _, nested := v[name].(map[string]any); nested || isList(v[name]) {
				fmt.Fprintf(out, "%s%s:\n", indent, name)
				printDetail(out, indent+"  ", v[name])
				continue
			}
			fmt.Fprintf(out, "%s%s: %v\n", indent, strings.ReplaceAll(name, "_", " "), v[name])
		}
	case []any:
		for _, element := range v {
			line, err := json.Marshal(element)
			if err == nil {
				fmt.Fprintf(out, "%s%s\n", indent, line)
			}
		}
	}
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version of this program", Action: printVersion}
}

func printVersion(_ context.Context, c *cli.Command) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return trace.NotFound("the program has no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Fprintf(c.Root().Writer, "trefoilweir %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
