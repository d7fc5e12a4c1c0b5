package stoatroute

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Outcome is the result of Register.
type Outcome uint8

// The outcomes of Register.
const (
	// Unchanged means that the registration is older than the known one, or that it changes nothing that
	// has to be reported.
	Unchanged Outcome = iota
	// Changed means that the upstream is new or that its state has changed.
	Changed
	// Restarted means that the upstream started again under its id and kept nothing from before.
	Restarted
	// Outdated means that an earlier incarnation than the known one wrote the registration.
	Outdated
	// Contradicted means that the registration cannot come from the upstream, which gets no new flows until
	// a valid one follows.
	Contradicted
)

// String returns the label used in logs.
func (o Outcome) String() string {
	return [...]string{"unchanged", "changed", "restarted", "outdated", "contradicted"}[o]
}

// Register applies a registration, which an upstream writes about itself, as of the revision at which it was written.
func (b *Builder) Register(now time.Time, r stoatpaddle.Registration, revision stoatpaddle.Version) Outcome {
	return b.RegisterAsOf(now, r, revision, revision)
}

// RegisterAsOf applies a registration that a state as of a revision has; it was written at another revision or the
// same one. The later state decides whether an upstream has ended that was missing from another state.
//
// A server may start again under the same id, with a later incarnation. A later incarnation than the known
// one supersedes everything that is known about the upstream. An earlier incarnation never does, even if its
// revision is later: a write that was in progress when the server died may take effect seconds later, and
// the running server would appear to be dead, cold or at another address.
func (b *Builder) RegisterAsOf(now time.Time, r stoatpaddle.Registration, revision, asOf stoatpaddle.Version) Outcome {
	rec := b.records[r.ID]
	if rec == nil {
		rec = newRecord(now, &r)
		b.records[r.ID] = rec
		b.setRegistration(rec, r, revision, stateOf(&r))
		return Changed
	}
	if b.isOutdated(rec, revision, asOf) {
		// This also holds for an upstream that is gone: another entry that is behind must not bring it back.
		return Unchanged
	}
	was := rec.up.State
	switch IdentityOf(&rec.up.Registration).compare(IdentityOf(&r)) {
	case earlierIncarnation:
		return Outdated
	case laterIncarnation:
		rec.restart(now, &r)
		b.setRegistration(rec, r, revision, stateOf(&r))
		return Restarted
	case foreignWriter:
		b.MarkInvalid(now, r.ID, r.Target, revision)
		return Contradicted
	case sameIncarnation:
	}
	r = b.keepLeaving(now, rec, r)
	rec.setCold(now, r.ColdRemaining)
	b.setRegistration(rec, r, revision, stateOf(&r))
	if was != rec.up.State {
		return Changed
	}
	return Unchanged
}

// isOutdated reports whether a registration that was written at a revision, in a state as of asOf, is older than what is
// known. If another state lacked the upstream, the later one of the two states decides.
func (b *Builder) isOutdated(rec *record, revision, asOf stoatpaddle.Version) bool {
	if absentAsOf, absent := b.absentAsOf[rec.up.ID]; absent {
		return revision < rec.up.Revision || revision <= absentAsOf && asOf < absentAsOf
	}
	return revision <= rec.up.Revision
}

// stateOf returns the state that a registration declares.
func stateOf(r *stoatpaddle.Registration) State {
	if r.Leaving {
		return Leaving
	}
	return Serving
}

// setRegistration replaces the registration and the state of a record.
func (b *Builder) setRegistration(rec *record, r stoatpaddle.Registration, revision stoatpaddle.Version, s State) {
	u := rec.edit()
	u.Registration, u.Revision, u.State, rec.invalid = b.interner.intern(r), revision, s, false
	if b.mirroring && !rec.mirrored {
		// The mirrored entry may never see a registration that ends before that entry reads it.
		b.claims[r.ID] = claim{remote: RemoteUpstream{State: Missing}, lacking: true}
	}
	b.recordChange(rec)
}

// unknownAddr is the address of an upstream whose registration could never be read. Its service is unknown
// too, so no route uses the upstream and nothing is sent to this address.
var unknownAddr = netip.AddrPortFrom(netip.IPv4Unspecified(), 1)

// MarkInvalid records that an upstream's registration was overwritten with something that describes no server,
// and reports whether that is a change. The upstream may still be running, so its open flows continue. It gets
// no new flows until it writes its registration again, because the platform no longer shows that it is serving.
//
// An upstream that was unknown becomes known by the key of the given target, which is taken from its id. Its
// registration still exists, so the platform does not show that it has ended, and flows to it must not be
// reset.
//
// The registration of an upstream that is gone only because a state lacked it exists after all.
func (b *Builder) MarkInvalid(now time.Time, id stoatpaddle.UpstreamID, target stoatpaddle.TargetID, revision stoatpaddle.Version) bool {
	rec := b.records[id]
	if rec == nil && target != 0 {
		r := stoatpaddle.Registration{ID: id, Target: target, Addr: unknownAddr, Leaving: true, CreateRevision: revision}
		rec = newRecord(now, &r)
		b.records[id] = rec
		b.setRegistration(rec, r, revision, Leaving)
		rec.invalid = true
		return true
	}
	if rec == nil || b.isOutdated(rec, revision, revision) {
		return false
	}
	if _, absent := b.absentAsOf[id]; rec.up.State == Gone && !absent {
		return false
	}
	was, invalid := rec.up.State, rec.invalid || !rec.up.Leaving
	rec.edit().Leaving = true
	b.setRegistration(rec, rec.up.Registration, revision, Leaving)
	rec.invalid = invalid
	return was != Leaving
}
