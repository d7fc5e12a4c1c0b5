package stoatsoak

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// forward sends a caller's packet to an entry, as the fabric does. It selects the entry by a hash of the flow
// modulo the number of entries in rotation, so that nearly all flows move when an entry joins or leaves. If the
// caller is in a data centre, the entries of that one are used as long as there are any.
func (h *harness) forward(f *flow, packet []byte) {
	e := f.entry
	if e == nil {
		e = h.chooseEntry(f)
	}
	if e == nil || h.dropsDatagram() {
		return
	}
	if h.cfg.InjectBreach != "" && h.injectBreach(f, packet) {
		return
	}
	to := e.at(h.port)
	_, _ = e.conn.WriteToUDPAddrPort(packet, to)
	h.mu.Lock()
	duplicate := h.lossy && h.rnd.IntN(10) == 0
	h.mu.Unlock()
	if duplicate {
		h.after(30*time.Millisecond, func() { _, _ = e.conn.WriteToUDPAddrPort(packet, to) })
	}
}

func (h *harness) chooseEntry(f *flow) *entry {
	var candidates, local []*entry
	for _, e := range h.entries {
		if !e.inRotation() {
			continue
		}
		candidates = append(candidates, e)
		if e.centre() == f.c.centre {
			local = append(local, e)
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	if len(candidates) == 0 {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(f.tuple[0].String() + f.tuple[1].String()))
	return candidates[int(hash.Sum32()%uint32(len(candidates)))]
}

// hasRoom reports whether any upstream is alive, neither leaving nor cold, and in no evacuated data centre. Only
// upstreams of "app" count, the service that the added routes use.
func (h *harness) hasRoom() bool {
	for _, u := range h.listUpstreams() {
		u.mu.Lock()
		serves := u.service == "app" && u.leftAt == 0 && u.coldUntil == 0 && !u.dead.Load()
		u.mu.Unlock()
		if serves && h.evacuatedSince(u.centre) == 0 {
			return true
		}
	}
	return false
}

// probeRoutes opens flows through each entry in rotation, to routes that were added or removed and to one that
// never existed.
func (h *harness) probeRoutes() error {
	c, err := h.newCaller(len(requestTypes()) * callersPerType)
	if err != nil {
		return err
	}
	for h.sleep(h.jitter(200 * time.Millisecond)) {
		h.mu.Lock()
		// The route that never existed counts as removed some time after the startup. With an earlier time, the
		// disturbance of the startup would excuse every result.
		routes := map[string]routeChange{"never": {listen: netip.MustParseAddrPort("198.18.9.9:443"), ackedAt: h.cfg.Limits.StableDelay + warmUp}}
		for name, r := range h.routes {
			routes[name] = r
		}
		h.mu.Unlock()
		for name, r := range routes {
			for _, e := range h.entries {
				if e.inRotation() {
					h.probeRoute(c, e, name, r)
				}
			}
		}
	}
	return nil
}

// probeRoute opens a flow through one entry. It ignores a missing answer, as a packet may have been lost, and
// an answer to a route that changed meanwhile.
func (h *harness) probeRoute(c *caller, e *entry, name string, r routeChange) {
	f := c.newFlow(r.listen, e)
	defer f.remove()
	sent, hadRoom := h.now(), h.hasRoom()
	f.send(platform.Segment{Opens: true, Seq: f.seq})
	s, received := f.wait(openRetryDelays[0])
	h.mu.Lock()
	unchanged := name == "never" || h.routes[name] == r
	h.mu.Unlock()
	if !received || !unchanged {
		return
	}
	h.check.routeProbed(sent, probeResult{
		entry: e.name, process: e.processName(), route: name, configured: r.added, version: r.version, ackedAt: r.ackedAt,
		opened: s.Opens && s.Acks, hasRoom: hadRoom && h.hasRoom(),
	})
	if opened := s.Opens && s.Acks; opened {
		f.cookie, f.ack = s.Cookie, s.Seq+1
		f.send(platform.Segment{Resets: true, Seq: f.seq + 1, Ack: f.ack})
	}
}
