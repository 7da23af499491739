package fleet

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Limits of the fields of a target. Another writer may leave an entry with values
// beyond them: sums and products of such numbers overflow, and every process keeps
// and sends the names.
const (
	// maxSlots is the greatest number of slots that a heartbeat carries.
	maxSlots = math.MaxUint16
	// maxWarmup bounds the remaining warm-up time.
	maxWarmup = 24 * time.Hour
	// maxNameLen bounds the name of a service or a data centre, in bytes.
	maxNameLen = 253
	// maxStartLead is how far the start of a target may be ahead of the time of day
	// of the process that reads its entry.
	maxStartLead = 24 * time.Hour
)

// nonUnicast has the addresses that no VM can have.
var nonUnicast = []netip.Prefix{
	netip.MustParsePrefix("0.0.0.0/8"),
	netip.MustParsePrefix("224.0.0.0/4"),
	netip.MustParsePrefix("255.255.255.255/32"),
}

var (
	errNoPort     = errors.New("has port 0")
	errNotUnicast = errors.New("is not a unicast address")
	errTooLong    = fmt.Errorf("is longer than %d bytes", maxNameLen)
)

// CheckUsable returns an error that names the field if a process cannot use the
// target. An entry with such a target counts as one that cannot be read.
func (t *Target) CheckUsable() error {
	if err := checkAddress(t.Address); err != nil {
		return fmt.Errorf("address: %s %w", t.Address, err)
	}
	if err := checkName(t.Service); err != nil {
		return fmt.Errorf("service: %w", err)
	}
	if err := checkName(t.DataCentre); err != nil {
		return fmt.Errorf("data_centre: %w", err)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return fmt.Errorf("slots: %d, want 1 to %d", t.Slots, maxSlots)
	}
	if t.WarmupMS < 0 || int64(t.WarmupMS) > maxWarmup.Milliseconds() {
		return fmt.Errorf("warmup_ms: %d, want 0 to %d", t.WarmupMS, maxWarmup.Milliseconds())
	}
	return nil
}

func checkAddress(a netip.AddrPort) error {
	switch {
	case !isIPv4(a):
		return errNotIPv4
	case a.Port() == 0:
		return errNoPort
	case slices.ContainsFunc(nonUnicast, func(p netip.Prefix) bool { return p.Contains(a.Addr()) }):
		return errNotUnicast
	}
	return nil
}

func checkName(name string) error {
	switch {
	case name == "":
		return errEmpty
	case len(name) > maxNameLen:
		return errTooLong
	}
	return nil
}

// ClearImplausibleStart sets a start time to 0, which means that it is not known, if
// it is negative or far ahead of the time of day. Otherwise such an entry counts as a
// later incarnation than any target at its address and hides that it drains. The
// entry itself is kept, so that a process whose clock is wrong loses no target.
func (t *Target) ClearImplausibleStart(timeOfDay time.Time) {
	if t.StartUnixMS < 0 || t.StartUnixMS > timeOfDay.Add(maxStartLead).UnixMilli() {
		t.StartUnixMS = 0
	}
}

// DropUnusableTargets removes the targets that CheckUsable refuses from a valid delta,
// clears implausible start times, and returns the number of removed targets. A peer of
// a release without these checks may have read them at the platform.
func (d *Delta) DropUnusableTargets(timeOfDay time.Time) (dropped int) {
	for i := range d.Changes {
		c := &d.Changes[i]
		for _, t := range []**Target{&c.Target, &c.Last} {
			switch {
			case *t == nil:
				continue
			case (*t).CheckUsable() != nil:
				*t = nil
				dropped++
			default:
				(*t).ClearImplausibleStart(timeOfDay)
			}
		}
	}
	return dropped
}
