package ownership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// Flags for runs by hand: more seeds, a first seed, kinds of trouble that are
// left out, and a trace of each flow for which the rule was broken.
var (
	seedCount = flag.Int("seeds", 0, "number of seeds, 0 for the default")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	without   = flag.String("without", "", "kinds of trouble to leave out, separated by commas")
	only      = flag.String("only", "", "the only kinds of trouble, separated by commas")
	traced    = flag.Bool("trace", false, "print what happened to each flow for which the rule was broken")
)

// Seeds of a run without flags.
const (
	defaultSeeds = 40
	shortSeeds   = 8
)

// Lengths of the parts of a run. Liveness is checked after the last one.
const (
	quietStart   = 2 * time.Second
	troubledTime = 16 * time.Second
	recoveryTime = 9 * time.Second
	livenessTime = 6 * time.Second
	callerCount  = 150
	ghostCount   = 4
)

// maxMessagesPerSearch bounds the mean number of datagrams for one search.
const maxMessagesPerSearch = 60

const otherService = "booking-next"

// kind is a kind of work or trouble, with the mean time between two of them.
type kind struct {
	name  string
	every time.Duration
	do    func(w *world)
}

func kinds() []kind {
	return []kind{
		{"agents", 700 * ms, (*world).restartAgents},
		{"balancers", 1500 * ms, (*world).restartBalancer},
		{"add", 4 * time.Second, (*world).addTarget},
		{"drain", 4 * time.Second, (*world).drainTarget},
		{"revoke", 1500 * ms, (*world).revokeEntry},
		{"outage", 6 * time.Second, (*world).platformOutage},
		{"slow", 6 * time.Second, func(w *world) { w.platform.slowUntil = w.now + w.between(time.Second, 4*time.Second) }},
		{"refuse", 2 * time.Second, (*world).refuseProcess},
		{"compact", 3 * time.Second, func(w *world) { w.platform.compact() }},
		{"freeze", 3 * time.Second, (*world).freezeAgent},
		{"kill", 4 * time.Second, (*world).killAgent},
		{"crash", 6 * time.Second, (*world).crashTarget},
		{"clock", 3 * time.Second, (*world).stepClock},
		{"weights", 3 * time.Second, (*world).changeWeights},
		{"idle", 4 * time.Second, (*world).changeIdleTimeout},
	}
}

// chosenKinds returns the kinds of trouble that the flags leave.
func chosenKinds() []kind {
	return slices.DeleteFunc(kinds(), func(k kind) bool {
		left := *only != "" && !slices.Contains(strings.Split(*only, ","), k.name)
		return left || slices.Contains(strings.Split(*without, ","), k.name)
	})
}

func newWorld(seed uint64) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 1)), processes: map[netip.Addr]*process{}, callers: map[flow.Key]*caller{}, bases: map[uint32]*target{}}
	w.judge = judge{sent: map[relay.Kind]int{}, decided: map[plane.EventKind]int{}, tracing: *traced}
	w.platform = &platform{w: w, revision: 100, entries: map[string]*storedEntry{}}
	w.configure(100, 5*time.Second)
	w.platform.expire()
	for _, dataCentre := range []string{"dc-0", "dc-0", "dc-1"} {
		ip := netip.AddrFrom4([4]byte{10, 1, 1, byte(10 + len(w.balancers))})
		b := &process{w: w, ip: ip, dataCentre: dataCentre}
		w.processes[ip] = b
		w.balancers = append(w.balancers, b)
		b.start(true)
		b.probeReady()
	}
	for range 4 {
		w.addVM("dc-0", fleettest.Service, true)
	}
	for range 3 {
		w.addVM("dc-1", fleettest.Service, true)
	}
	w.addVM("dc-0", otherService, true)
	w.addVM("dc-0", otherService, true)
	w.addVM("dc-1", otherService, true)
	return w
}

// addVM starts a VM with a target and an agent at nearly the same time.
func (w *world) addVM(dataCentre, service string, firstStart bool) {
	n := len(w.vms)
	ip := netip.AddrFrom4([4]byte{10, 1, 0, byte(10 + n)})
	v := &vm{ip: ip, dataCentre: dataCentre, service: service}
	v.agent = &process{w: w, ip: ip, dataCentre: dataCentre, vm: v}
	w.vms = append(w.vms, v)
	w.processes[ip] = v.agent
	v.startTarget(fmt.Sprintf("t%d", n))
	w.after(w.between(0, 200*ms), func() { v.agent.start(firstStart) })
}

// configure writes a version of the routes: the share of the first service in
// percent, and the idle timeout.
func (w *world) configure(share int, idle time.Duration) {
	w.idleTimeouts = append(w.idleTimeouts, idleChange{w.now, idle})
	w.platform.configure(fleet.Config{Version: uint64(len(w.platform.versions) + 1), IdleTimeoutMS: int(idle / ms), Routes: []fleet.Route{{
		Name: "r", Address: fleettest.Address, Kind: fleet.Idempotent, TimeoutMS: 3000, ObjectiveMS: 500,
		Split: []fleet.WeightedService{{Service: fleettest.Service, Weight: share}, {Service: otherService, Weight: 100 - share}},
	}}})
}

func (w *world) share() int {
	versions := w.platform.versions
	return versions[len(versions)-1].Routes[0].Split[0].Weight
}

func (w *world) changeWeights() {
	w.configure([]int{100, 80, 50, 30}[w.IntN(4)], w.idleTimeout())
}

func (w *world) changeIdleTimeout() {
	w.configure(w.share(), w.between(2*time.Second, 10*time.Second))
}

// vmWhere returns a random VM whose target lives, or nil.
func (w *world) vmWhere(usable func(v *vm) bool) *vm {
	var found []*vm
	for _, v := range w.vms {
		if v.target.alive && usable(v) {
			found = append(found, v)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[w.IntN(len(found))]
}

func hasAgent(v *vm) bool { return v.agent.up && !v.agent.stopping }

// serving returns the VMs of a service whose targets take new flows.
func (w *world) serving(service string) int {
	n := 0
	for _, v := range w.vms {
		if v.service == service && v.target.alive && !v.target.draining {
			n++
		}
	}
	return n
}

func (w *world) restartAgents() {
	for range 1 + w.IntN(2) {
		if v := w.vmWhere(hasAgent); v != nil {
			v.agent.stop(w.between(300*ms, time.Second))
		}
	}
}

func (w *world) restartBalancer() {
	b := w.balancers[w.IntN(len(w.balancers))]
	b.stop(w.between(300*ms, time.Second))
}

func (w *world) addTarget() {
	if len(w.vms) < 16 {
		w.addVM([]string{"dc-0", "dc-1", "dc-2"}[w.IntN(3)], []string{fleettest.Service, fleettest.Service, otherService}[w.IntN(3)], false)
	}
}

func (w *world) drainTarget() {
	if v := w.vmWhere(func(v *vm) bool { return !v.target.draining && w.serving(v.service) > 3 }); v != nil {
		v.target.drain()
	}
}

// revokeEntry removes the entry of a target that lives. It is back at one of the
// next writes.
func (w *world) revokeEntry() {
	for range 1 + w.IntN(3) {
		if v := w.vmWhere(func(v *vm) bool { return !v.target.draining }); v != nil && !w.platform.down() {
			v.target.cutUntil = w.now + w.between(0, 3*time.Second)
			w.platform.remove(v.target.id)
		}
	}
}

// platformOutage makes the platform refuse all calls. In half of the outages
// entries lapse.
func (w *world) platformOutage() {
	s := w.platform
	s.downUntil = w.now + w.between(time.Second, 6*time.Second)
	s.lapsesAt = s.downUntil
	if w.oneIn(2) {
		s.lapsesAt = w.now
	}
	for _, v := range w.vms {
		v.target.cutUntil = s.downUntil + w.between(0, 1300*ms)
	}
}

func (w *world) refuseProcess() {
	if v := w.vmWhere(hasAgent); v != nil {
		v.agent.sync.refusedUntil = w.now + w.between(time.Second, 5*time.Second)
	}
}

func (w *world) freezeAgent() {
	if v := w.vmWhere(hasAgent); v != nil {
		d := w.between(200*ms, 2*time.Second)
		v.disturbedUntil = w.now + d + stableWindow
		v.agent.freeze(d)
	}
}

func (w *world) killAgent() {
	if v := w.vmWhere(hasAgent); v != nil {
		d := w.between(300*ms, time.Second)
		v.disturbedUntil = w.now + d + stableWindow
		v.agent.kill()
		w.after(d, func() { v.agent.start(false) })
	}
}

func (w *world) crashTarget() {
	v := w.vmWhere(func(v *vm) bool { return !v.target.draining && w.serving(v.service) > 3 })
	if v == nil {
		return
	}
	v.disturbedUntil = w.now + stableWindow
	v.target.alive = false
	id := v.target.id
	if w.oneIn(2) {
		id = fmt.Sprintf("%s-%d", id, w.now.Milliseconds())
	}
	w.after(w.between(500*ms, 2*time.Second), func() { v.startTarget(id) })
}

// stepClock moves the time of day of a VM, for good or for some seconds.
func (w *world) stepClock() {
	v := w.vmWhere(func(*vm) bool { return true })
	step := w.between(-4*time.Second, 4*time.Second)
	v.clock += step
	v.disturbedUntil = w.now + stableWindow
	if w.oneIn(2) {
		w.after(w.between(time.Second, 5*time.Second), func() { v.clock -= step })
	}
}

// play runs a world through kinds of trouble and checks that it recovers.
func (w *world) play(troubles []kind) {
	for i := range callerCount {
		at := time.Duration(i) * (quietStart + troubledTime) / callerCount
		w.after(at+500*ms, func() { w.newCaller([]string{"dc-0", "dc-0", "dc-1"}[w.IntN(3)], 1+w.IntN(20)).start() })
	}
	for _, k := range troubles {
		if w.oneIn(4) {
			// A run has only some kinds, so that others are seen alone.
			continue
		}
		var next func()
		next = func() {
			if w.now < quietStart+troubledTime {
				k.do(w)
				w.after(w.between(k.every/4, 2*k.every), next)
			}
		}
		w.after(quietStart+w.between(0, 2*k.every), next)
	}
	w.runUntil(quietStart + troubledTime + recoveryTime)
	w.checkLiveness()
}

// checkLiveness requires that a packet of each open flow reaches its target, and
// that flows that no target holds are reset.
func (w *world) checkLiveness() {
	before := map[*caller]int{}
	for n := range len(w.callers) {
		c := w.callers[fleettest.Key(uint16(n+1))]
		if w.counts(c) {
			before[c] = c.deliveries
			c.requests++
			c.retransmits = 0
			c.request()
		}
	}
	var ghosts []*caller
	for range ghostCount {
		c := w.newCaller("dc-0", 1)
		c.open, c.base, c.target = true, w.Uint32(), &target{w: w, vm: w.vms[0]}
		c.received = c.base + 1
		c.request()
		ghosts = append(ghosts, c)
	}
	w.runUntil(w.now + livenessTime)
	for n := range len(w.callers) {
		c := w.callers[fleettest.Key(uint16(n+1))]
		if count, ok := before[c]; ok && c.deliveries == count && w.counts(c) {
			w.violate(c, "no packet reaches target %s (%s) after all trouble", c.target.id, c.target.vm.ip)
		}
	}
	for _, c := range ghosts {
		if !c.closed {
			w.violate(c, "no target holds the flow, and it is not reset")
		}
	}
}

// messagesPerSearch returns the mean number of datagrams that a search takes.
func (w *world) messagesPerSearch() float64 {
	total := 0
	for _, k := range []relay.Kind{relay.Search, relay.Survey, relay.SurveyResult, relay.Probe, relay.NotOwner, relay.MaybeOwner} {
		total += w.sent[k]
	}
	return float64(total) / float64(max(1, w.decided[plane.EventSearched]))
}

// TestOpenFlowsInModelTime guards against resets of open flows that their target
// did not send, and against open flows whose packets go to other targets. Each
// process has its own view of the fleet, which may be old, incomplete or empty,
// while agents, balancers and targets come and go and the platform is disturbed.
func TestOpenFlowsInModelTime(t *testing.T) {
	seeds := *seedCount
	if seeds == 0 {
		seeds = defaultSeeds
		if testing.Short() {
			seeds = shortSeeds
		}
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(seed)
			w.play(chosenKinds())
			opened := 0
			for _, c := range w.callers {
				if c.deliveries > 0 {
					opened++
				}
			}
			t.Logf("%d flows opened, %d reset, %d stale resets, %d excused, %d searches, %.1f messages per search, %d probes", opened, w.resets, w.staleResets, w.excused,
				w.decided[plane.EventSearched], w.messagesPerSearch(), w.decided[plane.EventProbed])
			for _, v := range w.violations {
				t.Error(v)
			}
			assert.Assert(t, opened > callerCount/2, "only %d flows opened", opened)
			assert.Assert(t, w.messagesPerSearch() < maxMessagesPerSearch, "%.1f messages per search", w.messagesPerSearch())
		})
	}
}

// TestRestartsInTurnResetNothing guards against resets of open flows while agents
// and balancers are restarted in turn and nothing else is wrong. A restarted agent
// has an empty view for some time, in which it gets packets of open flows from
// balancers that have restarted as well.
func TestRestartsInTurnResetNothing(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = shortSeeds
	}
	restarts := slices.DeleteFunc(kinds(), func(k kind) bool { return k.name != "agents" && k.name != "balancers" })
	for seed := range seeds {
		w := newWorld(seed + 1)
		w.play(restarts)
		assert.Equal(t, w.wrongResets, 0, "seed %d", seed+1)
	}
}
