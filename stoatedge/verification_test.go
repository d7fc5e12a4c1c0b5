package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// A packet comes to an address without a route. The platform itself is asked about the configuration at once, by an
// entry that reads it and by one that has a parent, and the answer verifies the routes as of when it was sent.
func TestRoutesAreVerified(t *testing.T) {
	for name, s := range map[string]*session{"reads the platform": newRunningSession(t), "has a parent": newFollowerSession(t)} {
		s.advance(time.Second)
		s.step(verificationRequested{parts: stoatroute.PartRoutes, waiting: 1})
		c := s.calls[declarations]
		if c == nil || c.AllowStale || c.Wait > ms {
			t.Fatalf("%s: %+v", name, c)
		}
		at := s.now
		s.now = s.now.Add(10 * ms)
		s.answer(declarations, 11)
		if !s.table.AsOf(stoatroute.PartRoutes).Equal(at) {
			t.Error(name, s.table.AsOf(stoatroute.PartRoutes).Sub(at))
		}
		if s.events[EventVerification.Number] != 1 {
			t.Error(name, s.events)
		}
	}
}

// An opening comes to an address without a route at an entry with a parent. A replica is asked, once; its answer counts
// as a replica's, also if it is behind what is known. An entry that reads the platform asks the platform itself.
func TestRoutesAreReadFromAReplica(t *testing.T) {
	for _, asOf := range []stoatpaddle.Version{11, 9} {
		s := newFollowerSession(t)
		s.step(verificationRequested{parts: stoatroute.PartRoutes.OfReplica(), waiting: 1})
		c := s.calls[declarations]
		if c == nil || !c.AllowStale || c.Wait > ms || s.calls[upstreams] != nil {
			t.Fatalf("%+v", c)
		}
		at := s.now
		s.now = s.now.Add(10 * ms)
		s.answer(declarations, asOf)
		if got := s.table.AsOf(stoatroute.PartRoutes.OfReplica()); !got.Equal(at) || !s.table.AsOf(stoatroute.PartRoutes).IsZero() {
			t.Error(asOf, got.Sub(at), s.table.AsOf(stoatroute.PartRoutes))
		}
		s.wantNoCalls("after the answer")
	}
	s := newRunningSession(t)
	s.step(verificationRequested{parts: stoatroute.PartRoutes.OfReplica()})
	if c := s.calls[declarations]; c.AllowStale || c.Wait > ms {
		t.Errorf("%+v", c)
	}
	if !s.ctl.status.watches {
		t.Error("an entry that reads the platform does not count as watching it")
	}
}

// Guards against a packet that waits in vain: a verification is requested while an exact call is in progress, whose
// answer may be older than the packet. Another call follows, also at an entry with a parent.
func TestVerificationDuringACall(t *testing.T) {
	for name, s := range map[string]*session{"reads the platform": newRunningSession(t), "has a parent": newFollowerSession(t)} {
		s.step(verificationRequested{parts: stoatroute.PartUpstreams})
		s.now = s.now.Add(10 * ms)
		s.step(verificationRequested{parts: stoatroute.PartUpstreams})
		s.answer(upstreams, 11)
		if c := s.calls[upstreams]; c == nil || c.AllowStale || c.Wait > ms {
			t.Fatalf("%s: %+v", name, c)
		}
		at := s.now
		s.answer(upstreams, 11)
		if !s.table.AsOf(stoatroute.PartUpstreams).Equal(at) {
			t.Error(name, s.table.AsOf(stoatroute.PartUpstreams).Sub(at))
		}
	}
}

// Guards against children that rely on an old configuration: an exact answer about upstreams alone says nothing about
// the configuration, so the state as a whole is not more recent.
func TestUpstreamsAloneDoNotConfirmTheState(t *testing.T) {
	s := newRunningSession(t)
	before := s.ctl.asOf()
	s.advance(time.Second)
	s.step(verificationRequested{parts: stoatroute.PartUpstreams})
	s.now = s.now.Add(10 * ms)
	s.answer(upstreams, 11)
	if got := s.ctl.asOf(); !got.Equal(before) {
		t.Errorf("the state counts as current as of %s later", got.Sub(before))
	}
}

// A verification at an entry with a parent gets no answer. The platform counts as not answering, so that callers
// without a route are refused at once, until the parent confirms the state again.
func TestFailedVerificationAtChild(t *testing.T) {
	s := newFollowerSession(t)
	if !s.ctl.status.answers {
		t.Fatal("the platform does not answer")
	}
	s.step(verificationRequested{parts: stoatroute.PartRoutes})
	s.end(declarations, stoatfeed.Result{Outcome: stoatfeed.Failed})
	if s.ctl.status.answers {
		t.Error("the platform counts as answering after a failed call")
	}
	s.wantNoCalls("after a failed verification")
	s.receiveUpdate(parentUpdate{parent: "parent", known: position(10)})
	if !s.ctl.status.answers {
		t.Error("the platform counts as not answering though the parent reads it")
	}
}
