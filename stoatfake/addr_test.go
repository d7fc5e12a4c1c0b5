package stoatfake_test

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// The demo requests two hundred addresses before it uses the first one, while other processes take and
// release ports. If FreeAddr returned an address twice, two upstreams of a contract would share it and the
// contract would be refused.
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
					t.Errorf("%s was returned twice", addr)
				}
				seen[addr] = true
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}
