package stoatecho_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// newAddr has no route at first.
var newAddr = netip.MustParseAddrPort("198.18.0.4:8443")

// declareMore adds a route of the service app to the configuration.
func (w *world) declareMore() {
	added := stoatpaddle.Route{Listen: newAddr, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}
	w.rev++
	d := w.builder.Declaration()
	d.Version, d.Routes = w.rev, append(d.Routes[:len(d.Routes):len(d.Routes)], added)
	w.builder.ApplyDeclaration(d, w.rev)
}

// Guards against resets of flows that another entry opened on a route which this entry learns of by the read that the
// packet causes.
func TestPacketOnANewRoute(t *testing.T) {
	w := newWorld(t)
	c := w.caller(newAddr)
	c.cookie = stoatroute.KeyOf(1)
	a := c.sendRequest()
	wantHold(t, a, stoatroute.PartRoutes)
	w.declareMore()
	if a = c.afterRead(a); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-1" {
		t.Errorf("%+v", a)
	}
}

// An opening needs the state of a replica as of a time after it came, a packet of an open flow that of the platform
// itself.
func TestOpeningsNeedAReplicaOnly(t *testing.T) {
	w := newWorld(t)
	opening, open := w.caller(newAddr), w.caller(newAddr)
	open.cookie = stoatroute.KeyOf(1)
	first, other := opening.syn(0), open.sendRequest()
	wantHold(t, first, stoatroute.PartRoutes.OfReplica())
	wantHold(t, other, stoatroute.PartRoutes)
	w.after(ms)
	w.builder.MarkPartsRead(stoatroute.PartRoutes, w.now)
	wantReset(t, w.e.HandleHeld(w.now, w.builder.Table(), &opening.sent), stoatpacket.DropNoRoute)
	wantHold(t, w.e.HandleHeld(w.now, w.builder.Table(), &open.sent), stoatroute.PartRoutes)
}

// Guards against a reset because of a read that ended before the packet came: a route that was added in between is
// not in its answer.
func TestReadBeforeThePacketIsNoVerification(t *testing.T) {
	w := newWorld(t)
	c := w.caller(newAddr)
	w.confirm()
	wantHold(t, c.sendRequest(), stoatroute.PartRoutes)
	w.after(ms)
	w.builder.MarkPartsCurrent(stoatroute.PartUpstreams, w.now)
	c.sent.Action = stoatecho.Action{Verdict: stoatecho.Hold, Verify: stoatroute.PartRoutes}
	wantHold(t, w.e.HandleHeld(w.now, w.builder.Table(), &c.sent), stoatroute.PartRoutes)
}

// Guards against a reset of a flow at an upstream that started again under its id, and that this entry takes for gone.
// A flow that was open here before the read is reset at once.
func TestFlowAtAnUpstreamThatReturned(t *testing.T) {
	w := newWorld(t)
	old, silent := w.flowTo(1), w.flowTo(1)
	w.after(ms).endRegistration("i-1")
	other := w.caller(idempotentAddr)
	other.cookie = stoatroute.KeyOf(1)
	a := other.sendRequest()
	wantHold(t, a, stoatroute.PartUpstreams)
	w.confirm()
	wantReset(t, old.sendRequest(), stoatpacket.DropUpstreamGone)
	w.rev++
	w.builder.Register(w.now, stoatpaddle.Registration{ID: "i-1", Target: 1, Service: "app", DataCentre: "here", Slots: 3, Incarnation: 2, CreateRevision: w.rev}, w.rev)
	if got := other.afterRead(a); got.Verdict != stoatecho.Forward || got.Upstream.ID != "i-1" {
		t.Errorf("%+v", got)
	}
	wantForward(t, "the upstream is back", silent.sendRequest())
}

// Guards against a reset of a flow that was idle since before the last read, which showed its upstream: the end that
// another entry reported later needs a read of its own.
func TestIdleFlowAtAnUpstreamThatEndedAfterTheRead(t *testing.T) {
	w := newWorld(t)
	idle := w.flowTo(1)
	w.after(time.Second).confirm()
	w.endRegistration("i-1")
	a := idle.sendRequest()
	wantHold(t, a, stoatroute.PartUpstreams)
	wantReset(t, idle.afterRead(a), stoatpacket.DropUpstreamGone)
}

// Guards against a pending request that is reset because its upstream's registration lapsed, though the upstream has
// registered again by the time of the read.
func TestPendingRequestAtAnUpstreamThatReturned(t *testing.T) {
	w := newWorld(t)
	c := w.flowTo(1)
	c.sendRequest()
	w.after(300 * ms).endRegistration("i-1")
	if list, lastEnd := w.e.TakeOrphanedFlows(w.now, w.builder.Table()); len(list) != 0 || !lastEnd.Equal(w.now) {
		t.Fatalf("%+v, last end %s", list, lastEnd)
	}
	w.register(1, "app", "here")
	w.confirm()
	if list, lastEnd := w.e.TakeOrphanedFlows(w.now, w.builder.Table()); len(list) != 0 || !lastEnd.IsZero() {
		t.Errorf("%+v, last end %s", list, lastEnd)
	}
}

// Guards against a flow that is open twice: its opening was held, and a copy of it was placed meanwhile, here or, once the
// caller has sent one, perhaps through another entry. Where there is still no route, the caller is reset however late.
func TestHeldOpeningsAreNotPlacedLate(t *testing.T) {
	for name, c := range map[string]struct {
		after    time.Duration
		copied   bool
		declared bool
		want     stoatecho.Verdict
		reason   stoatpacket.DropReason
	}{
		"in time":           {after: 100 * ms, declared: true, want: stoatecho.Forward},
		"a copy may follow": {after: 150 * ms, declared: true, want: stoatecho.Drop, reason: stoatpacket.DropStale},
		"a copy was placed": {after: 50 * ms, copied: true, declared: true, want: stoatecho.Drop, reason: stoatpacket.DropStale},
		"no route":          {after: 400 * ms, want: stoatecho.Reset, reason: stoatpacket.DropNoRoute},
	} {
		w := newWorld(t)
		caller := w.caller(newAddr)
		a := caller.syn(0)
		held := caller.sent
		held.Action = a
		if c.declared {
			w.declareMore()
		}
		w.after(c.after / 2)
		if c.copied {
			if got := caller.syn(1); got.Verdict != stoatecho.Forward {
				t.Errorf("%s: %+v", name, got)
			}
		}
		w.after(c.after / 2)
		w.builder.MarkCurrent(w.now)
		if got := w.e.HandleHeld(w.now, w.builder.Table(), &held); got.Verdict != c.want || got.Reason != c.reason {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A table that has what a held packet refers to resolves it, before any read of the platform is confirmed.
func TestResolvedPacketsAreNotHeld(t *testing.T) {
	w := newWorld(t)
	v := stoatecho.NewVerifier()
	route, cookie, gone := w.caller(newAddr), w.caller(idempotentAddr), w.flowTo(2)
	cookie.cookie = stoatroute.KeyOf(77)
	w.after(ms).endRegistration("i-2")
	w.builder.MarkGone(w.now, "i-9", 99)
	full := w.caller(intakeAddr)
	for c, a := range map[*caller]stoatecho.Action{route: route.sendRequest(), cookie: cookie.sendRequest(), gone: gone.sendRequest(), full: full.syn(0)} {
		if a.Verdict != stoatecho.Hold || !v.Add(w.now, w.now, &c.sent.Packet, nil, a) {
			t.Fatalf("%+v", a)
		}
	}
	if got := v.TakeVerified(w.builder.Table()); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	w.declareMore()
	w.register(77, "app", "here")
	w.register(2, "app", "here")
	w.rev = 100
	w.register(9, "intake", "here")
	if got := v.TakeVerified(w.builder.Table()); len(got) != 4 || v.Len() != 0 {
		t.Errorf("%d resolved, %d still held: %+v", len(got), v.Len(), got)
	}
}

// An opening whose verification takes too long is refused. A packet of an open flow is dropped.
func TestGiveUp(t *testing.T) {
	w := newWorld(t)
	c := w.caller(newAddr)
	wantReset(t, w.e.GiveUp(&stoatpacket.Packet{Tuple: c.tuple, Opens: true}, c.syn(0)), stoatpacket.DropNoRoute)
	wantDrop(t, w.e.GiveUp(&stoatpacket.Packet{Tuple: c.tuple}, c.sendRequest()), stoatpacket.DropUnverified)
	full := w.caller(intakeAddr)
	w.builder.MarkGone(w.now, "i-9", 99)
	wantReset(t, w.e.GiveUp(&stoatpacket.Packet{Tuple: full.tuple, Opens: true}, full.syn(0)), stoatpacket.DropNoUpstream)
	if s := w.e.Stats(); s.Refused != 1 || s.Resets[stoatpacket.DropNoRoute] != 1 || s.Opened != 0 {
		t.Errorf("%+v", s)
	}
}

// flood has packets of open flows and openings without a route come every millisecond, and returns the calls to the
// platform itself and to replicas that they cause, the openings that are not held, and the longest time for which one is
// held.
func flood(v *stoatecho.Verifier, start time.Time, length time.Duration) (exact, replica, refused int, longest time.Duration) {
	for at := time.Duration(0); at < length; at += ms {
		now := start.Add(at)
		p, hold := stoatpacket.Packet{Seq: uint32(at / ms)}, stoatecho.Action{Verdict: stoatecho.Hold, Reason: stoatpacket.DropNoRoute, Verify: stoatroute.PartRoutes}
		if at%(2*ms) == 0 {
			p.Opens, hold.Verify = true, stoatroute.PartRoutes.OfReplica()
		}
		if !v.Add(now, now, &p, nil, hold) && p.Opens {
			refused++
		}
		switch v.TakeRequests(now) {
		case stoatroute.PartRoutes:
			exact++
		case stoatroute.PartRoutes.OfReplica():
			replica++
		case stoatroute.PartRoutes | stoatroute.PartRoutes.OfReplica():
			exact, replica = exact+1, replica+1
		}
		if at%(10*ms) != 0 {
			continue
		}
		for _, h := range v.TakeExpired(now) {
			if h.Packet.Opens {
				longest = max(longest, now.Sub(h.Since))
			}
		}
	}
	return exact, replica, refused, longest
}

// Guards against a flood of packets without a route that uses up the platform's rate limits, and against callers that
// wait in it: four calls at once and then one a second, and of replicas two and then one in five. The platform never
// answers.
func TestFloodCausesABoundedNumberOfCalls(t *testing.T) {
	v := stoatecho.NewVerifier()
	exact, replica, refused, longest := flood(v, start, 20*time.Second)
	if exact < 20 || exact > 4+20 || replica < 4 || replica > 2+4 {
		t.Error(exact, "calls to the platform itself,", replica, "to replicas")
	}
	if refused < 8000 {
		t.Error(refused, "of 10,000 openings were refused at once")
	}
	if longest > 510*ms { // overdue packets are taken every 10 ms
		t.Error("an opening was held for", longest)
	}
	if n := v.Len(); n > 1000 {
		t.Error(n, "packets are held")
	}
}

// Guards against scanners that use up the calls: openings to addresses without a route, one a second for a minute.
func TestOpeningsCauseFewCalls(t *testing.T) {
	v := stoatecho.NewVerifier()
	hold := stoatecho.Action{Verdict: stoatecho.Hold, Verify: stoatroute.PartRoutes.OfReplica()}
	calls := 0
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		now := start.Add(at)
		p := stoatpacket.Packet{Opens: true, Seq: uint32(at)}
		held := v.Add(now, now, &p, nil, hold)
		if again := v.Add(now.Add(200*ms), now.Add(200*ms), &p, nil, hold); again != held {
			t.Errorf("%s: held %t, its copy %t", at, held, again)
		}
		switch v.TakeRequests(now) {
		case 0:
		case stoatroute.PartRoutes.OfReplica():
			calls++
		default:
			t.Error("the platform itself is asked")
		}
		v.TakeExpired(now.Add(900 * ms))
	}
	if calls < 12 || calls > 14 {
		t.Error(calls, "calls in a minute")
	}
}

// An entry that watches the platform refuses openings at once: its watch shows a change as soon as a replica would.
func TestOpeningsAtAnEntryThatWatches(t *testing.T) {
	v := stoatecho.NewVerifier()
	v.SetPlatform(true, true)
	hold := stoatecho.Action{Verdict: stoatecho.Hold, Verify: stoatroute.PartRoutes.OfReplica()}
	if v.Add(start, start, &stoatpacket.Packet{Opens: true}, nil, hold) {
		t.Error("held")
	}
}

// The calls allow for a burst again after a quiet time, and one call serves all packets that came before it.
func TestVerifierAsksOncePerPacket(t *testing.T) {
	v := stoatecho.NewVerifier()
	flood(v, start, 5*time.Second)
	now := start.Add(time.Minute)
	v.TakeExpired(now)
	hold := stoatecho.Action{Verdict: stoatecho.Hold, Verify: stoatroute.PartRoutes | stoatroute.PartUpstreams}
	if !v.Add(now, now, &stoatpacket.Packet{Seq: 1}, nil, hold) || !v.Add(now, now, &stoatpacket.Packet{Seq: 2, Opens: true}, nil, hold) {
		t.Fatal("not held")
	}
	if got := v.TakeRequests(now); got != stoatroute.PartRoutes|stoatroute.PartUpstreams {
		t.Errorf("asks about %q", got)
	}
	if got := v.TakeRequests(now.Add(200 * ms)); got != 0 {
		t.Errorf("asks again about %q", got)
	}
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.MarkPartsCurrent(stoatroute.PartRoutes, now.Add(ms))
	if got := v.TakeVerified(b.Table()); len(got) != 0 {
		t.Errorf("only one of two parts is verified: %+v", got)
	}
	b.MarkPartsCurrent(stoatroute.PartUpstreams, now.Add(ms))
	if got := v.TakeVerified(b.Table()); len(got) != 2 || got[0].Packet.Seq != 1 {
		t.Errorf("%+v", got)
	}
	if v.Len() != 0 {
		t.Error("still held:", v.Len())
	}
}

// A call that got no answer is repeated after a second, as long as packets wait.
func TestVerifierAsksAgain(t *testing.T) {
	v := stoatecho.NewVerifier()
	v.SetLastEnd(start)
	calls := 0
	for at := time.Duration(0); at < 10*time.Second; at += 100 * ms {
		if v.TakeRequests(start.Add(at)) == stoatroute.PartUpstreams {
			calls++
		}
	}
	if calls != 10 {
		t.Error(calls, "calls in 10 s")
	}
}

// While the platform does not answer, openings are refused at once, and those that are held too.
func TestOpeningsAreNotHeldDuringAnOutage(t *testing.T) {
	v := stoatecho.NewVerifier()
	hold := stoatecho.Action{Verdict: stoatecho.Hold, Verify: stoatroute.PartRoutes}
	opening, open := stoatpacket.Packet{Opens: true}, stoatpacket.Packet{Seq: 7}
	if !v.Add(start, start, &opening, nil, hold) {
		t.Fatal("not held although the platform answers")
	}
	v.SetPlatform(false, false)
	if got := v.TakeExpired(start); len(got) != 1 {
		t.Error("still held:", v.Len())
	}
	if v.Add(start, start, &opening, nil, hold) || !v.Add(start, start, &open, nil, hold) {
		t.Error("an opening is held, or a packet of an open flow is not")
	}
	v.SetPlatform(true, false)
	if !v.Add(start, start, &opening, nil, hold) {
		t.Error("not held although the platform answers again")
	}
}
