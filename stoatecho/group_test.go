package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// registerForty adds upstreams of service app in this data centre until there are forty.
func (w *world) registerForty() {
	for target := stoatpaddle.TargetID(100); target < 138; target++ {
		w.register(target, "app", "here")
	}
}

// opensElsewhere sends an opening and reports whether it went to the other data centre; if so, it completes the
// handshake.
func (w *world) opensElsewhere() bool {
	c := w.caller(idempotentAddr)
	a := c.syn(0)
	if a.Upstream.DataCentre == "here" {
		return false
	}
	c.cookie = a.Upstream.Key
	w.after(10 * ms)
	c.send(stoatpacket.Packet{Ack: 1})
	return true
}

// All forty upstreams of this data centre are lost at once, and their machines refuse openings directly towards
// the callers, past the entries. A caller with three tries reaches another entry each time, so no entry may
// learn of forty upstreams one by one: after two unanswered openings without a sign of life of the group, new
// flows go to the other data centre.
func TestWholeGroupIsLost(t *testing.T) {
	w := newWorld(t)
	w.registerForty()
	for range 5 {
		w.caller(idempotentAddr).open()
	}
	w.after(time.Second)
	lost := 0
	for range 40 {
		if !w.opensElsewhere() {
			lost++
		}
		w.after(20 * ms)
	}
	// A handshake takes 10 ms, so an opening is overdue after 30 ms at most.
	if lost > 5 {
		t.Errorf("%d of 40 flows were sent to a data centre that answers nothing", lost)
	}
}

// All upstreams of this data centre are lost and come back after a second: some flows probe them, and then new
// flows stay in the local data centre again.
func TestLostGroupComesBack(t *testing.T) {
	w := newWorld(t)
	w.registerForty()
	w.caller(idempotentAddr).open()
	w.after(time.Second)
	for range 50 {
		w.opensElsewhere()
		w.after(20 * ms)
	}
	own, last := 0, 0
	for i := range 100 {
		c := w.caller(idempotentAddr)
		if c.open().DataCentre == "here" {
			own++
			last = i
		}
		w.after(40 * ms)
	}
	if own < 20 || last < 95 {
		t.Errorf("%d of 100 flows went to the local data centre, the last one was number %d", own, last)
	}
}

// One upstream of forty is dead and every tenth packet is lost, but the others answer. Flows must stay in this
// data centre, since traffic to another one is expensive.
func TestGroupThatAnswersIsNotLost(t *testing.T) {
	w := newWorld(t)
	w.registerForty()
	away := 0
	for i := range 300 {
		c := w.caller(idempotentAddr)
		switch a := c.syn(0); {
		case a.Upstream.DataCentre != "here":
			away++
		case a.Upstream.Target == 1 || i%10 == 0:
		default:
			c.cookie = a.Upstream.Key
			w.after(10 * ms)
			c.ack = 1
			c.sendRequest()
			w.after(20 * ms)
			c.ackAnswer()
		}
		w.after(20 * ms)
	}
	if away > 3 {
		t.Errorf("%d of 300 flows were sent to another data centre", away)
	}
}

// Ten of forty upstreams are lost for good, and their registrations stay since the platform does not respond. When
// their ejection ends, they have nothing in progress and look better than the live ones. They must get a flow
// only now and then, and a retransmitted opening must go to a live upstream.
func TestLostUpstreamsAreTriedRarely(t *testing.T) {
	w := newWorld(t)
	w.registerForty()
	dead := func(u *stoatroute.Upstream) bool { return u.Target >= 100 && u.Target < 110 }
	lost, copies := 0, 0
	for range 1000 {
		c := w.caller(idempotentAddr)
		a := c.syn(0)
		if dead(a.Upstream) {
			lost++
			w.after(200 * ms)
			if a = c.syn(1); dead(a.Upstream) {
				copies++
			}
		}
		if !dead(a.Upstream) {
			c.cookie = a.Upstream.Key
			w.after(10 * ms)
			c.send(stoatpacket.Packet{Ack: 1})
		}
		w.after(10 * ms)
	}
	// Each is tried once, and then one of them in each of the 25 seconds that the test takes.
	if lost > 10+2*25 || copies > 10 {
		t.Errorf("of 1000 flows %d were sent to upstreams that are lost, and %d of their copies", lost, copies)
	}
}

// An entry joins, and the fabric hands nearly all flows to other entries than before: openings that were sent
// from here are continued elsewhere, and flows arrive that other entries placed. The openings that seem
// unanswered are no evidence against the group, and flows must stay in this data centre.
func TestMovedFlowsAreNoLostGroup(t *testing.T) {
	w := newWorld(t)
	w.registerForty()
	for range 5 {
		w.caller(idempotentAddr).open()
	}
	w.after(time.Second)
	for range 4 {
		w.caller(idempotentAddr).syn(0)
	}
	w.after(5 * ms)
	adopted := w.caller(idempotentAddr)
	adopted.cookie, adopted.ack = 100, 1
	adopted.send(stoatpacket.Packet{Ack: 1})
	away := 0
	for range 5 {
		w.after(10 * ms)
		if w.caller(idempotentAddr).syn(0).Upstream.DataCentre != "here" {
			away++
		}
	}
	if away > 1 {
		t.Errorf("%d of 5 flows were sent to another data centre", away)
	}
}
