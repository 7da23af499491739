package kvstore_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Guards against versions that come later than applyLimit, because entries of another
// writer list VMs that do not exist and these are chosen as readers and parents.
func TestEntriesOfVMsThatDoNotExist(t *testing.T) {
	const absent = 24
	d := newDeployment(t)
	for n := range absent {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 10, byte(n + 1)}), 80)
		d.store.Put(fmt.Sprint("servers/absent-", n), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"dc%d","version":"v1","slots":1,"state":"ready","warmup-left-ms":0,"sequence":1,"born":1}`, service, address, n%3))
	}
	d.await("the entries", func(p *process) bool { return len(p.view.Targets(service)) == agentCount+absent })
	for version := 2; version < 5; version++ {
		d.putRoutes(version)
		d.awaitVersion(uint64(version))
		// The next version comes while the processes wait for the readers again.
		time.Sleep(300 * time.Millisecond)
	}
}
