package stoatedge_test

import (
	"encoding/binary"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatedge"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// configureRoute writes a configuration with the route that configure writes and one to port 444.
func (r *rig) configureRoute(version int, service string) {
	route := func(name, port, service string) map[string]any {
		return map[string]any{"name": name, "host": "198.18.0.1", "path_prefix": port, "type": "idempotent", "service": service}
	}
	r.store.Write(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "routes": []map[string]any{route("r", "/443/", "app"), route("s", "/444/", service)},
		"services": []map[string]any{{"name": "app", "max_conns": 2000}}, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// childOf starts an entry whose parent is reached through the proxy, and which relies on the parent's last update for
// longer than a test runs.
func (r *rig) childOf(p *proxy) (*stoatedge.Edge, stoatsetting.Settings) {
	r.t.Helper()
	set := r.settings("127.0.0.12", p.addr)
	set.MaxApplyDelay = 10 * waitTimeout
	e, _ := r.startConfigured(stoatedge.Config{Settings: set})
	r.wait("it has a parent", func() bool { return depth(e) == 1 && isReady(set) })
	return e, set
}

// Guards against final answers from a state that is older than another entry's: the child's parent is silent, and
// the child resets or drops packets of flows that are open, or refuses flows, because of what it has not heard of.
func TestFinalAnswersNeedTheLatestState(t *testing.T) {
	const syn, ack = flagSYN, flagACK
	for name, c := range map[string]struct {
		before func(r *rig) // the child hears of it
		known  func(e *stoatedge.Edge) bool
		after  func(r *rig) // the child does not hear of it
		flags  byte
		port   uint16
	}{
		"open flow on a new route": {
			after: func(r *rig) { r.configureRoute(2, "app") }, flags: ack, port: 444,
		},
		"new flow on a new route": {
			after: func(r *rig) { r.configureRoute(2, "app") }, flags: syn, port: 444,
		},
		"open flow at a service that the route has now": {
			before: func(r *rig) { r.configureRoute(2, "other") },
			known:  func(e *stoatedge.Edge) bool { return e.Table().Declaration.Version == 2 },
			after:  func(r *rig) { r.configureRoute(3, "app") }, flags: ack, port: 444,
		},
		"open flow at an upstream that has registered again": {
			before: func(r *rig) { r.store.Remove(platform.KindUpstream, names[0]) },
			known:  func(e *stoatedge.Edge) bool { return len(e.Table().Candidates("app")) == 1 },
			after:  func(r *rig) { r.register(0, "ready") }, flags: ack, port: 443,
		},
		"new flow for the first upstream of a service": {
			before: func(r *rig) {
				r.store.Remove(platform.KindUpstream, names[0])
				r.store.Remove(platform.KindUpstream, names[1])
			},
			known: func(e *stoatedge.Edge) bool { return len(e.Table().Candidates("app")) == 0 },
			after: func(r *rig) { r.register(0, "ready") }, flags: syn, port: 443,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			_, setSeed, _ := r.start("127.0.0.11")
			r.wait("the seed is ready", func() bool { return isReady(setSeed) })
			p := r.proxy(setSeed.AdminAddr)
			e, set := r.childOf(p)
			if c.before != nil {
				c.before(r)
				r.wait("the child knows", func() bool { return c.known(e) })
			}
			p.silence()
			c.after(r)
			const cookie = 0x11 // of names[0]
			b := packet(c.flags, 40001, c.port, cookie)
			if c.flags == syn {
				b = packet(syn, 40001, c.port, 0)
			}
			r.send(set, b)
			if _, target, _ := r.receiveAtUpstream(); c.flags == ack && target != cookie {
				t.Errorf("forwarded to %x", target)
			}
			// The caller gets resets in order: the first one is for an address that has no route.
			r.send(set, packet(syn, 40002, 9, 0))
			if reset := r.receive(r.caller); binary.LittleEndian.Uint16(reset[5:]) != 40002 {
				t.Errorf("the flow is reset: % x", reset)
			}
		})
	}
}

// Guards against callers of an address without a route that wait for an answer while the platform does not answer.
func TestNoRouteIsRefusedDuringAnOutage(t *testing.T) {
	r := newRig(t)
	_, set, l := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	r.store.SetFaults(stoatfake.Faults{Down: true})
	r.send(set, packet(flagSYN, 40001, 9, 0))
	if reset := r.receive(r.caller); reset[0] != flagRST {
		t.Errorf("% x", reset)
	}
	r.wait("the outage is logged", func() bool { return l.has(`"event":"SP1408"`) })
	r.send(set, packet(flagSYN, 40002, 9, 0))
	if reset := r.receive(r.caller); reset[0] != flagRST || binary.LittleEndian.Uint16(reset[5:]) != 40002 {
		t.Errorf("% x", reset)
	}
}
