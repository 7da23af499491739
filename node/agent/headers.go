package agent

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// deadlineHeader carries the remaining time of a request, in milliseconds:
	// from callers that want less than the default of the class, and to
	// targets.
	deadlineHeader   = "Request-Deadline-Ms"
	retryAfterHeader = "Retry-After"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders copies the headers that are passed on.
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

// formatMilliseconds formats a duration for a header, rounded up.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}

// maxDeadline bounds the deadline that a caller may ask for.
const maxDeadline = 24 * time.Hour

// parseMilliseconds reads a positive duration. An absent header gives zero; it
// reports false for a faulty value.
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

// formatSeconds formats a duration for Retry-After, rounded up and at least 1.
func formatSeconds(d time.Duration) string {
	return strconv.FormatInt(max(1, int64((d+time.Second-1)/time.Second)), 10)
}
