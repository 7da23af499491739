package config

import (
	"fmt"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// Errors are all faults of a configuration, each with the path of its field.
type Errors = strictjson.Errors

// Defaults of the fields that an operator may leave out.
const (
	// DefaultHandOverPeers is how many peers an agent asks for a slot.
	DefaultHandOverPeers = 3
	// DefaultQueuePerSlot is the queue bound, in requests per slot.
	DefaultQueuePerSlot = 4
	// DefaultRetryBudgetPercent is in percent of the requests of 10 s.
	DefaultRetryBudgetPercent = 10
	// DefaultColdStartMS is the length of the slot ramp, in milliseconds.
	DefaultColdStartMS = 5000
	// DefaultSpeed is the rated speed of a target.
	DefaultSpeed = 1.0
)

// SetDefaults fills in the defaults. The default of hand_over is true.
func (p *Preset) SetDefaults() {
	*p = Preset{
		HandOver:           true,
		HandOverPeers:      DefaultHandOverPeers,
		QueuePerSlot:       DefaultQueuePerSlot,
		RetryBudgetPercent: DefaultRetryBudgetPercent,
		ColdStartMS:        DefaultColdStartMS,
		Bias:               BiasBalance,
	}
}

// SetDefaults fills in the defaults. A request holds a slot unless the class
// says otherwise, because a class that forgets it would have no load limit.
func (c *Class) SetDefaults() { *c = Class{HoldsSlot: true} }

// SetDefaults fills in the defaults.
func (t *Target) SetDefaults() { *t = Target{Speed: DefaultSpeed, State: TargetActive} }

// Parse decodes and validates a configuration and applies the defaults. The
// error is of type Errors and holds every fault.
func Parse(data []byte) (*Config, error) {
	var c Config
	errs := strictjson.Decode(data, &c)
	if len(errs) == 1 && errs[0].Path == "" {
		return nil, errs
	}
	errs = append(errs, withoutRepeats(errs, c.validate())...)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Validate returns every fault of a configuration that was not made by Parse.
func (c *Config) Validate() error { return c.validate().Err() }

// withoutRepeats drops the faults of fields that could not be decoded, whose
// zero value would otherwise be reported a second time.
func withoutRepeats(decoding, validation Errors) Errors {
	if len(decoding) == 0 {
		return validation
	}
	bad := make(map[string]bool, len(decoding))
	for _, e := range decoding {
		bad[e.Path] = true
	}
	var out Errors
	for _, e := range validation {
		if !anyPrefix(bad, e.Path) {
			out = append(out, e)
		}
	}
	return out
}

// anyPrefix reports whether path or a path above it is in bad.
func anyPrefix(bad map[string]bool, path string) bool {
	for path != "" {
		if bad[path] {
			return true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return false
}

func field(path, name string) string { return path + "." + name }

func element(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
