package config

import (
	"fmt"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// Errors holds all errors of a configuration, each with the path of its field.
type Errors = strictjson.Errors

// Defaults of optional fields.
const (
	// DefaultHandOverPeers is the number of peers that an agent asks for a
	// slot.
	DefaultHandOverPeers = 3
	// DefaultQueuePerSlot is the queue bound, in requests per slot.
	DefaultQueuePerSlot = 4
	// DefaultRetryBudgetPercent is the retry budget, in percent of the
	// requests of the last 10 s.
	DefaultRetryBudgetPercent = 10
	// DefaultColdStartMS is the length of the cold start of a target, in
	// milliseconds.
	DefaultColdStartMS = 5000
	// DefaultSpeed is the rated speed of a target.
	DefaultSpeed = 1.0
)

// SetDefaults sets all fields to their defaults. The default of hand_over is
// true.
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

// SetDefaults sets all fields to their defaults. HoldsSlot is true by default,
// because requests that hold no slot have no load limit.
func (c *Class) SetDefaults() { *c = Class{HoldsSlot: true} }

// SetDefaults sets all fields to their defaults.
func (t *Target) SetDefaults() { *t = Target{Speed: DefaultSpeed, State: TargetActive} }

// Parse decodes and validates a configuration and applies the defaults. The
// error is of type Errors and holds every error found.
func Parse(data []byte) (*Config, error) {
	var c Config
	errs := strictjson.Decode(data, &c)
	if len(errs) == 1 && errs[0].Path == "" {
		return nil, errs
	}
	errs = append(errs, withoutUndecoded(errs, c.validate())...)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Validate checks a configuration that was not returned by Parse. The error is
// of type Errors and holds every error found.
func (c *Config) Validate() error { return c.validate().Err() }

// withoutUndecoded returns the validation errors without those of fields that
// could not be decoded. Their zero values would otherwise be reported as
// second errors.
func withoutUndecoded(decoding, validation Errors) Errors {
	if len(decoding) == 0 {
		return validation
	}
	undecoded := make(map[string]bool, len(decoding))
	for _, e := range decoding {
		undecoded[e.Path] = true
	}
	var out Errors
	for _, e := range validation {
		if !containsPathOrAncestor(undecoded, e.Path) {
			out = append(out, e)
		}
	}
	return out
}

// containsPathOrAncestor reports whether paths contains path or one of its
// parents.
func containsPathOrAncestor(paths map[string]bool, path string) bool {
	for path != "" {
		if paths[path] {
			return true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return false
}

func fieldPath(path, name string) string { return path + "." + name }

func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
