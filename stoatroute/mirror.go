package stoatroute

import (
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
	// UpToDate is set if the sender knows everything that this entry knows. From any other sender only
	// registrations with a later revision are applied.
	UpToDate bool
}

// Mirror applies an update from another entry, and returns the upstreams whose state changed here.
//
// An upstream that a complete update lacks is missing, not gone: an entry that started just after the
// platform recovered never learned of a registration that lapsed, and the upstream is about to register
// again. An upstream that is reported as missing stays missing until there is another report, because only
// the entry that reads the platform knows when the platform recovered. If a complete update lacks it too, the sender
// will never report it, and it gets its grace period here.
func (b *Builder) Mirror(now time.Time, update RemoteUpdate) []stoatpaddle.UpstreamID {
	var changed []stoatpaddle.UpstreamID
	named := make(map[stoatpaddle.UpstreamID]bool, len(update.Upstreams))
	for _, id := range update.Unreadable {
		named[id] = true
	}
	for i := range update.Upstreams {
		u := &update.Upstreams[i]
		named[u.ID] = true
		if b.mirror(now, u, update.UpToDate) {
			changed = append(changed, u.ID)
		}
	}
	if !update.Complete {
		return changed
	}
	if !b.listed && b.declared {
		b.listed, b.dirty = true, true
	}
	if !b.evacuationsKnown && b.declared {
		b.evacuationsKnown, b.dirty = true, true
	}
	if !update.UpToDate {
		return changed
	}
	for id, rec := range b.records {
		switch {
		case named[id]:
		case rec.up.State < Missing:
			b.setMissing(now, rec)
			changed = append(changed, id)
		case rec.up.State == Missing && rec.remoteMissing:
			b.setMissing(now, rec)
		}
	}
	return changed
}

// mirror applies one upstream of an update and reports whether its state changed here.
func (b *Builder) mirror(now time.Time, remote *RemoteUpstream, upToDate bool) bool {
	rec := b.records[remote.ID]
	if rec != nil && (remote.Revision < rec.up.Revision || remote.Revision == rec.up.Revision && (!upToDate || remote.State == rec.up.State)) {
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
	was, state := rec.up.State, remote.State
	u := rec.edit()
	u.Registration, u.Revision = b.interner.intern(b.keepLeaving(now, rec, remote.Registration)), remote.Revision
	if state == Serving {
		state = stateOf(&rec.up.Registration)
	}
	u.State = state
	switch state {
	case Gone:
		b.setGone(now, rec)
	case Missing:
		b.setMissing(now, rec)
		rec.remoteMissing = true
	default:
		b.recordChange(rec)
	}
	return isNew || was != state
}
