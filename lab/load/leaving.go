package load

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// Leaving is a line of the file in which a publisher of targets records that it
// lists a target as draining or leaving.
type Leaving struct {
	// Time is the wall-clock time in nanoseconds since 1970.
	Time   int64  `json:"t"`
	Target string `json:"target"`
}

// AppendLeaving appends a line with the target and the current time to the file.
func AppendLeaving(path, target string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.Wrap(json.NewEncoder(file).Encode(Leaving{time.Now().UnixNano(), target}))
}

// ReadLeaving returns the time at which each target was last listed as leaving.
// If the file does not exist, no target was.
func ReadLeaving(path string) (map[string]time.Time, error) {
	times := map[string]time.Time{}
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return times, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l Leaving
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, trace.Wrap(err, "%s", path)
		}
		times[l.Target] = time.Unix(0, l.Time)
	}
	return times, trace.Wrap(lines.Err())
}
