package stoatsoak

import (
	"net/netip"
	"net/url"
	"syscall"
	"time"
)

const (
	// crowdCallers of crowdInterval load one data centre with more than its upstreams can serve, and both
	// together with less.
	crowdCallers  = 16
	crowdInterval = 100 * time.Millisecond
)

// crowdCentre makes additional callers send to one data centre until the end of the step, half of them to the
// urgent route and half to the other one of the same service.
func (h *harness) crowdCentre(s Step) {
	recordEnd := h.check.beginOverload(h.now())
	until := h.now() + s.For
	for n := range crowdCallers {
		c := h.crowd[n]
		c.centre = centreOf(s.Target)
		typ := *requestTypes()[n%2]
		typ.interval, typ.reusesFlow = crowdInterval, false
		h.group.Go(func() error {
			for h.sleep(h.jitter(typ.interval)) && h.now() < until {
				c.request(&typ, nil)
			}
			return nil
		})
	}
	h.after(s.For, func() { recordEnd(h.now()) })
}

// addCrowd creates the callers that a crowd consists of.
func (h *harness) addCrowd() error {
	for n := range crowdCallers {
		c, err := h.newCaller(len(requestTypes())*callersPerType + 1 + n)
		if err != nil {
			return err
		}
		h.crowd = append(h.crowd, c)
	}
	return nil
}

// connectSeeds makes the proxies between seeds translate the sender's address.
func (h *harness) connectSeeds() {
	query := func(a netip.AddrPort) []byte { return []byte(url.Values{"from": {a.String()}}.Encode()) }
	for n, e := range h.entries[:min(seedCount, len(h.entries))] {
		for i, p := range e.seedProxies {
			if p != nil {
				p.senderHere, p.sender = query(e.at(adminPort)), query(h.entries[i].seedProxies[n].addr)
			}
		}
	}
}

// setCut starts or ends a cut between data centres.
func (h *harness) setCut(cut bool) {
	h.cut.Store(cut)
	for _, e := range h.entries {
		for i, p := range e.seedProxies {
			if p != nil && centreOf(i) != e.centre() {
				p.setCut(cut)
			}
		}
	}
}

// isCutOff reports whether packets of the entry at the address do not reach the data centre.
func (h *harness) isCutOff(from netip.Addr, centre string) bool {
	if !h.cut.Load() {
		return false
	}
	for _, e := range h.entries {
		if e.addr == from {
			return e.centre() != centre
		}
	}
	return false
}

// killRoot kills the first entry of the data centre that reads the store.
func (h *harness) killRoot(centre string) {
	for _, e := range h.entries {
		if e.centre() == centre && e.inRotation() && e.storeProxy.isUsed() {
			e.signal(syscall.SIGKILL, true)
			return
		}
	}
}
