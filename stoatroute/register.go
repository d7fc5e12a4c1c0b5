package stoatroute

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Outcome is what became of a registration that was taken in.
type Outcome uint8

// The outcomes of Register.
const (
	// Unchanged: it is older than what is known, or changes nothing that anybody has to be told.
	Unchanged Outcome = iota
	// Changed: the upstream is new, or its standing is.
	Changed
	// Restarted: the upstream started again under its id, and holds nothing of before.
	Restarted
	// Outdated: an earlier incarnation wrote it than the one that is known.
	Outdated
	// Contradicted: it cannot come from the upstream, which gets no new flows until a good one comes.
	Contradicted
)

// String returns the word used in logs.
func (o Outcome) String() string {
	return [...]string{"unchanged", "changed", "restarted", "outdated", "contradicted"}[o]
}

// Register takes in what an upstream says about itself.
//
// A server may start again under the id that it had. Its incarnation tells: one that is later
// than the known one supersedes all that is known of the upstream. An earlier one never does,
// although its revision is later: a write that was under way when its server died may take
// effect seconds later, and the server that lives would look dead, or cold, or elsewhere.
func (b *Builder) Register(now time.Time, r stoatpaddle.Registration, revision stoatpaddle.Version) Outcome {
	e := b.ups[r.ID]
	if e == nil {
		e = newEntry(now, &r)
		b.ups[r.ID] = e
		b.adopt(e, r, revision, standingOf(&r))
		return Changed
	}
	if revision <= e.up.Revision {
		// Also of one that is gone: a neighbour which is behind must not bring it back.
		return Unchanged
	}
	was := e.up.State
	switch IdentityOf(&e.up.Registration).compare(IdentityOf(&r)) {
	case earlierLife:
		return Outdated
	case laterLife:
		e.renew(now, &r)
		b.adopt(e, r, revision, standingOf(&r))
		return Restarted
	case otherWriter:
		b.MarkInvalid(now, r.ID, r.Target, revision)
		return Contradicted
	case sameLife:
	}
	r = b.leaving(now, e, r)
	e.cooled(now, r.Cold)
	b.adopt(e, r, revision, standingOf(&r))
	if was != e.up.State {
		return Changed
	}
	return Unchanged
}

func standingOf(r *stoatpaddle.Registration) State {
	if r.Leaving {
		return Leaving
	}
	return Serving
}

// adopt makes a registration and a standing what is known of an upstream.
func (b *Builder) adopt(e *entry, r stoatpaddle.Registration, revision stoatpaddle.Version, s State) {
	u := e.edit()
	u.Registration, u.Revision, u.State, e.spoiled = b.names.shared(r), revision, s, false
	b.changed(e)
}

// nowhere is the address of an upstream whose entry never could be read. No route has its service, which
// is not known either, so that nothing is sent there.
var nowhere = netip.AddrPortFrom(netip.IPv4Unspecified(), 1)

// MarkInvalid takes in that an upstream's entry was written over with something that names no server,
// and tells whether that is news. The upstream may live: its open flows go on. Until it writes
// again it gets no new ones, since the platform does not say any more that it serves.
//
// One that is not known is known by its cookie from now on, as the target that its id names says: its entry
// stands, so that the platform does not say either that it has ended, and flows there must not be reset.
func (b *Builder) MarkInvalid(now time.Time, id stoatpaddle.UpstreamID, target stoatpaddle.Target, revision stoatpaddle.Version) bool {
	e := b.ups[id]
	if e == nil && target != 0 {
		r := stoatpaddle.Registration{ID: id, Target: target, Addr: nowhere, Leaving: true, Created: revision}
		e = newEntry(now, &r)
		b.ups[id] = e
		b.adopt(e, r, revision, Leaving)
		e.spoiled = true
		return true
	}
	if e == nil || revision <= e.up.Revision || e.up.State == Gone {
		return false
	}
	was, spoiled := e.up.State, e.spoiled || !e.up.Leaving
	e.edit().Leaving = true
	b.adopt(e, e.up.Registration, revision, Leaving)
	e.spoiled = spoiled
	return was != Leaving
}
