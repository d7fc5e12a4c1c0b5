package stoatfake_test

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// The demo asks for two hundred addresses before it uses the first one, and several processes beside it
// take and release ports. No address may come twice, or two upstreams of a contract would share one and
// the operators' contract would be refused.
func TestFreeAddrsDiffer(t *testing.T) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[netip.AddrPort]bool{}
	for range 8 {
		wg.Add(1)
		go func() { // house: a test
			defer wg.Done()
			for range 60 {
				addr, err := stoatfake.FreeAddr()
				mu.Lock()
				if err != nil {
					t.Error(err)
				} else if seen[addr] {
					t.Errorf("%s comes twice", addr)
				}
				seen[addr] = true
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}
