package spread

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func agent(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

// Each row guards against a bad choice in one load pattern.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidate", nil, -1},
		{"a fast target before a slow one", []Candidate{
			{Slots: 3, ServiceTime: 40 * ms}, {Slots: 3, ServiceTime: 18 * ms}}, 1},
		{"a slow idle target before a fast one with a long queue", []Candidate{
			{Slots: 7, ServiceTime: 31 * ms, Busy: 70, Expected: 8}, {Slots: 7, ServiceTime: 100 * ms, Busy: 5, Expected: 7.4}}, 1},
		{"a fast target with a short queue before a slow idle one", []Candidate{
			{Slots: 3, ServiceTime: 18 * ms, Busy: 3}, {Slots: 3, ServiceTime: 90 * ms}}, 0},
		{"long flows with pauses count although no request is in progress", []Candidate{
			{Slots: 3, ServiceTime: 20 * ms, Expected: 2.9}, {Slots: 3, ServiceTime: 22 * ms, Expected: 0.5}}, 1},
		{"a target that is warming up is slower than its service time", []Candidate{
			{Slots: 3, ServiceTime: 20 * ms, Warming: true}, {Slots: 3, ServiceTime: 25 * ms}}, 1},
		{"a local target unless it is much slower", []Candidate{
			{Slots: 3, ServiceTime: 20 * ms, Distance: 10 * ms}, {Slots: 3, ServiceTime: 25 * ms}}, 1},
		{"a remote target if the local one has a queue", []Candidate{
			{Slots: 3, ServiceTime: 20 * ms, Distance: 10 * ms}, {Slots: 3, ServiceTime: 20 * ms, Busy: 9}}, 0},
		{"an unknown service time counts as the mean", []Candidate{
			{Slots: 3}, {Slots: 3, ServiceTime: 10 * ms}, {Slots: 3, ServiceTime: 50 * ms}}, 1},
	} {
		assert.Equal(t, Choose(c.candidates, 0, 7), c.want, c.name)
	}
}

// Guards against homes that all choose the same one of several equal targets.
func TestTiesAreShared(t *testing.T) {
	candidates := []Candidate{{Agent: agent(1), Slots: 3}, {Agent: agent(2), Slots: 3}, {Agent: agent(3), Slots: 3}}
	var chosen [3]int
	for tie := range uint64(600) {
		chosen[Choose(candidates, 0, tie)]++
	}
	for _, n := range chosen {
		assert.Assert(t, n >= 150 && n <= 250, "%v", chosen)
	}
}
