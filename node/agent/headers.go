package agent

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// deadlineHeader carries a time limit in milliseconds. Callers set it to
	// request a shorter deadline than the default of the class. The agent sets
	// it to tell the target how long the answer may take to begin.
	deadlineHeader   = "Request-Deadline-Ms"
	retryAfterHeader = "Retry-After"
)

// hopByHopHeaders lists the headers that concern one connection only (RFC 9110,
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of in without the hop-by-hop headers.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// formatMilliseconds formats a duration for a header, rounded up to
// milliseconds.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}

// maxDeadline limits the deadline that a caller may request.
const maxDeadline = 24 * time.Hour

// parseMilliseconds parses a positive duration in milliseconds. It returns zero
// for an absent header, and false for an invalid value.
func parseMilliseconds(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n <= 0 || n > int64(maxDeadline/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// formatSeconds formats a duration for Retry-After, rounded up to seconds and
// at least 1.
func formatSeconds(d time.Duration) string {
	return strconv.FormatInt(max(1, int64((d+time.Second-1)/time.Second)), 10)
}
