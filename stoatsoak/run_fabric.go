package stoatsoak

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// forward gives a caller's packet to an entry, as the fabric does: by a hash of the flow over
// the entries in rotation, so that nearly all flows move when one joins or leaves.
func (w *world) forward(f *flow, packet []byte) {
	e := f.entry
	if e == nil {
		e = w.choose(f)
	}
	if e == nil || w.lost() {
		return
	}
	if w.cfg.InjectBreach != "" && w.sabotage(f, packet) {
		return
	}
	to := e.at(w.port)
	_, _ = e.conn.WriteToUDPAddrPort(packet, to)
	w.mu.Lock()
	again := w.lossy && w.rnd.IntN(10) == 0
	w.mu.Unlock()
	if again {
		w.after(30*time.Millisecond, func() { _, _ = e.conn.WriteToUDPAddrPort(packet, to) })
	}
}

func (w *world) choose(f *flow) *entry {
	var in []*entry
	for _, e := range w.entries {
		if e.inRotation() {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.tuple[0].String() + f.tuple[1].String()))
	return in[int(h.Sum32()%uint32(len(in)))]
}

// room tells whether an upstream of the service that routes are added to serves, is warm and may get flows.
func (w *world) room() bool {
	for _, u := range w.living() {
		u.mu.Lock()
		serves := u.service == "app" && u.left == 0 && u.warm == 0 && !u.dead.Load()
		u.mu.Unlock()
		if serves && w.evacuatedSince(u.centre) == 0 {
			return true
		}
	}
	return false
}

// look opens flows to routes that were added, removed or never existed, at each entry.
func (w *world) look() error {
	c, err := w.newCaller(len(kinds()) * callersPerKind)
	if err != nil {
		return err
	}
	for w.pause(w.jitter(200 * time.Millisecond)) {
		w.mu.Lock()
		routes := map[string]routed{"never": {listen: netip.MustParseAddrPort("198.18.9.9:443"), acked: w.cfg.Limits.StableDelay + warmUp}}
		for name, r := range w.routes {
			routes[name] = r
		}
		w.mu.Unlock()
		for name, r := range routes {
			for _, e := range w.entries {
				if e.inRotation() {
					w.lookAt(c, e, name, r)
				}
			}
		}
	}
	return nil
}

// lookAt opens one flow at one entry. Silence says nothing: a packet may be lost.
func (w *world) lookAt(c *caller, e *entry, name string, r routed) {
	f := c.newFlow(r.listen, e)
	defer f.forget()
	sent, room := w.now(), w.room()
	f.send(platform.Segment{Opens: true, Seq: f.seq})
	s, came := f.wait(openAgain[0])
	w.mu.Lock()
	same := name == "never" || w.routes[name] == r
	w.mu.Unlock()
	if !came || !same {
		return
	}
	w.check.looked(sent, look{
		entry: e.name, life: e.lifeName(), route: name, allowed: r.allowed, version: r.version, acked: r.acked,
		opened: s.Opens && s.Acks, room: room && w.room(),
	})
	if opened := s.Opens && s.Acks; opened {
		f.cookie, f.ack = s.Cookie, s.Seq+1
		f.send(platform.Segment{Resets: true, Seq: f.seq + 1, Ack: f.ack})
	}
}
