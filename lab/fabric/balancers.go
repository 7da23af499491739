package fabric

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
)

// balancerList holds the live balancers. Datagrams to the balancers named in
// cut are dropped.
type balancerList struct {
	mu     sync.Mutex
	random *rand.Rand
	live   []config.VM
	cut    []string
}

func newBalancers(seed uint64) *balancerList {
	return &balancerList{random: rand.New(rand.NewPCG(seed, 0))}
}

// setVMs replaces the live balancers with those of the platform's VM list.
func (b *balancerList) setVMs(value json.RawMessage) error {
	var vms []config.VM
	if err := json.Unmarshal(value, &vms); err != nil {
		return trace.Wrap(err, "decode VM list")
	}
	live := slices.DeleteFunc(vms, func(vm config.VM) bool {
		return vm.Role != config.RoleBalancer || vm.State != config.VMLive
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
	return nil
}

func (b *balancerList) setCut(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = names
}

// choose returns the IP address of a random live balancer. It reports false if
// there is none or if the link to the chosen one is cut.
func (b *balancerList) choose() (addr netip.Addr, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.live) == 0 {
		return netip.Addr{}, false
	}
	vm := b.live[b.random.IntN(len(b.live))]
	if slices.Contains(b.cut, vm.Name) {
		return netip.Addr{}, false
	}
	return vm.DatagramAddress.Addr(), true
}
