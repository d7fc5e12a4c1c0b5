package stoatroute

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// RemoteUpstream is an upstream as another entry knows it.
type RemoteUpstream struct {
	stoatpaddle.Registration
	Revision stoatpaddle.Version // of the registration
	State    State
}

// RemoteUpdate is one update from another entry.
type RemoteUpdate struct {
	Upstreams []RemoteUpstream
	// Unreadable has the upstreams that the sender knows, but of which nothing else can be read. They do not count as
	// missing from a complete update.
	Unreadable []stoatpaddle.UpstreamID
	// Complete is set if the update contains all upstreams that the sender knows.
	Complete bool
	// Position is the revision up to which the sender knows all registrations.
	Position stoatpaddle.Version
	// UpToDate is set if the sender knows all registrations that this entry knows. From any other sender only
	// registrations with a later revision are applied. What else it has otherwise waits until it knows as much.
	UpToDate bool
	// Known is the revision up to which this entry knows all registrations.
	Known stoatpaddle.Version
	// Read is the revision up to which this entry has read the platform itself. What the sender contradicts below it is in
	// no later watch.
	Read stoatpaddle.Version
}

// claim says that the mirrored entry takes an upstream for ended, or has never sent it, while it is in use here, or that it
// has one that is unknown here. The entry may be behind what is known here, and does not repeat its report when it no
// longer is.
type claim struct {
	remote  RemoteUpstream // as reported
	lacking bool           // the entry does not know the upstream at all
}

// Mirror applies an update from another entry, and returns the upstreams whose state changed here. Contradicted is set if
// the sender knows a registration up to RemoteUpdate.Read otherwise than this entry knew it: only a list of the platform
// shows which of them is right.
//
// Only a sender that knows as much as this entry can end an upstream, as of the sender's position. An upstream
// that a complete update lacks is missing, not gone: an entry that started just after the platform recovered never
// learned of a registration that lapsed, and the upstream is about to register again. An upstream that is reported
// as missing stays missing until there is another report, because only the entry that reads the platform knows
// when the platform recovered. If a complete update lacks it too, the sender will never report it, and it gets its
// grace period here.
func (b *Builder) Mirror(now time.Time, update RemoteUpdate) (changed []stoatpaddle.UpstreamID, contradicted bool) {
	if update.Complete {
		b.claims = map[stoatpaddle.UpstreamID]claim{}
	}
	named := make(map[stoatpaddle.UpstreamID]bool, len(update.Upstreams))
	for _, id := range update.Unreadable {
		named[id] = true
	}
	for i := range update.Upstreams {
		u := &update.Upstreams[i]
		named[u.ID] = true
		if b.mirror(now, u, &update) {
			changed = append(changed, u.ID)
		}
	}
	if update.Complete {
		b.applyComplete(named)
	}
	if update.UpToDate {
		changed = append(changed, b.settleClaims(now, update.Position)...)
	}
	return changed, slices.ContainsFunc(changed, func(id stoatpaddle.UpstreamID) bool { return b.records[id].up.Revision <= update.Read })
}

// applyComplete applies what a complete update lacks, as claims.
func (b *Builder) applyComplete(named map[stoatpaddle.UpstreamID]bool) {
	if !b.listed && b.declared {
		b.listed, b.dirty = true, true
	}
	if !b.evacuationsKnown && b.declared {
		b.evacuationsKnown, b.dirty = true, true
	}
	for id, rec := range b.records {
		rec.mirrored = named[id]
		if !named[id] && (rec.up.State < Missing || rec.up.State == Missing && rec.remoteMissing) {
			b.claims[id] = claim{remote: RemoteUpstream{State: Missing}, lacking: true}
		}
	}
}

// settleClaims applies the claims about registrations up to the position of the mirrored entry, which knows as much as
// this one, and returns the upstreams whose state changed.
func (b *Builder) settleClaims(now time.Time, pos stoatpaddle.Version) []stoatpaddle.UpstreamID {
	var changed []stoatpaddle.UpstreamID
	for id, c := range b.claims {
		rec := b.records[id]
		if rec != nil && rec.up.Revision > pos {
			continue
		}
		delete(b.claims, id)
		switch {
		case rec == nil && c.remote.State < Missing:
			b.mirror(now, &c.remote, &RemoteUpdate{Position: pos, UpToDate: true})
			changed = append(changed, id)
		case rec == nil || !c.stillHolds(rec):
		default:
			if rec.up.State != c.remote.State {
				changed = append(changed, id)
			}
			b.endMirrored(now, rec, c.remote.State, pos)
			rec.remoteMissing = c.remote.State == Missing && !c.lacking
		}
	}
	return changed
}

// stillHolds reports whether the claim is about the registration that is known now, and changes its state.
func (c claim) stillHolds(rec *record) bool {
	if c.lacking {
		return rec.up.State < Missing || rec.up.State == Missing && rec.remoteMissing
	}
	return rec.up.State < Missing
}

// endMirrored ends an upstream on the word of another entry, as of that entry's position.
func (b *Builder) endMirrored(now time.Time, rec *record, s State, pos stoatpaddle.Version) {
	b.absentAsOf[rec.up.ID] = pos
	if s == Gone {
		b.setGone(now, rec)
		return
	}
	b.setMissing(now, rec)
}

// accepts reports whether an update about an upstream is to be applied; rec is nil if it is unknown here. From a sender that
// is behind, it keeps the end of an upstream in use as a claim, and so the existence of one that has ended here.
func (b *Builder) accepts(rec *record, remote *RemoteUpstream, update *RemoteUpdate) bool {
	delete(b.claims, remote.ID)
	switch {
	case rec == nil && !update.UpToDate && remote.Revision <= update.Known:
		b.claims[remote.ID] = claim{remote: *remote}
		return false
	case rec == nil:
		return true
	case remote.State < Missing && rec.up.State >= Missing:
		return !b.isOutdated(rec, remote.Revision, update.Position)
	case remote.Revision > rec.up.Revision:
		return true
	case remote.State >= Missing && rec.up.State < Missing:
		// The sender may not have seen the registration that is known here.
		b.claims[remote.ID] = claim{remote: *remote}
		return false
	}
	return update.UpToDate && remote.Revision == rec.up.Revision && remote.State != rec.up.State
}

// mirror applies one upstream of an update and reports whether its state changed here.
func (b *Builder) mirror(now time.Time, remote *RemoteUpstream, update *RemoteUpdate) bool {
	rec := b.records[remote.ID]
	if rec != nil {
		rec.mirrored = true
	}
	if !b.accepts(rec, remote, update) {
		return false
	}
	isNew := rec == nil
	switch {
	case isNew:
		rec = newRecord(now, &remote.Registration)
		b.records[remote.ID] = rec
	case remote.Incarnation < rec.up.Incarnation:
		// The sender does not know of the later incarnation yet.
		return false
	case IdentityOf(&rec.up.Registration).compare(IdentityOf(&remote.Registration)) == laterIncarnation:
		rec.restart(now, &remote.Registration)
		isNew = true
	case remote.Revision > rec.up.Revision:
		rec.setCold(now, remote.ColdRemaining)
	}
	rec.mirrored = true
	was, state := rec.up.State, remote.State
	u := rec.edit()
	u.Registration, u.Revision = b.interner.intern(b.keepLeaving(now, rec, remote.Registration)), remote.Revision
	if state == Serving {
		state = stateOf(&rec.up.Registration)
	}
	u.State = state
	switch state {
	case Gone, Missing:
		b.endMirrored(now, rec, state, update.Position)
		rec.remoteMissing = state == Missing
	default:
		b.recordChange(rec)
	}
	return isNew || was != state
}
