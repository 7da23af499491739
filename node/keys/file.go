package keys

import (
	"encoding/hex"
	"math"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	maxGeneration = math.MaxUint8
	// ticketKeyLen is the length of a ticket key, in bytes.
	ticketKeyLen = 16
)

type fileContent struct {
	ConnID   *filePurpose `json:"connid"`
	Datagram *filePurpose `json:"datagram"`
	Ticket   *filePurpose `json:"ticket"`
}

type filePurpose struct {
	Active      *int              `json:"active"`
	Generations map[string]string `json:"generations"`
}

// parse decodes the keys of one purpose. The error names every faulty field.
func (p *filePurpose) parse(field string, maxGen, keyLen int) (generations, error) {
	if p == nil {
		return generations{}, trace.BadParameter("%s: missing", field)
	}
	result := generations{keys: make(map[uint8][]byte, len(p.Generations))}
	var faults []error
	names := make([]string, 0, len(p.Generations))
	for name := range p.Generations {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		generation, key, err := parseKey(name, p.Generations[name], maxGen, keyLen)
		if err != nil {
			faults = append(faults, trace.BadParameter("%s.generations.%s: %v", field, name, err))
			continue
		}
		result.keys[generation] = key
	}
	if err := p.checkActive(field); err != nil {
		faults = append(faults, err)
	} else {
		result.active = uint8(*p.Active)
	}
	return result, trace.NewAggregate(faults...)
}

func (p *filePurpose) checkActive(field string) error {
	if p.Active == nil {
		return trace.BadParameter("%s.active: missing", field)
	}
	if _, ok := p.Generations[strconv.Itoa(*p.Active)]; !ok {
		return trace.BadParameter("%s.active: generation %d is not in %s.generations", field, *p.Active, field)
	}
	return nil
}

func parseKey(name, digits string, maxGen, keyLen int) (uint8, []byte, error) {
	generation, err := strconv.Atoi(name)
	if err != nil || generation < 0 || generation > maxGen || strconv.Itoa(generation) != name {
		return 0, nil, trace.BadParameter("generation must be a decimal number from 0 to %d", maxGen)
	}
	// The digits are secret, so errors must not contain them.
	key, err := hex.DecodeString(digits)
	if err != nil || len(key) != keyLen {
		return 0, nil, trace.BadParameter("key must be %d hexadecimal digits (%d characters given)", 2*keyLen, len(digits))
	}
	return uint8(generation), key, nil
}
