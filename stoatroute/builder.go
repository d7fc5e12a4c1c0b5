package stoatroute

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

func newRecord(now time.Time, r *stoatpaddle.Registration) *record {
	return &record{up: &Upstream{Key: KeyOf(r.Target), WarmAt: now.Add(r.ColdRemaining), WasCold: r.ColdRemaining > 0}}
}

// setCold records for how much longer the upstream is cold, as it reports. An upstream may also become cold
// without a restart, for example after its data centre was evacuated.
func (rec *record) setCold(now time.Time, cold time.Duration) {
	u := rec.edit()
	u.WarmAt = now.Add(cold)
	u.WasCold = u.WasCold || cold > 0
}

// Config configures a Builder; zero values take the defaults.
type Config struct {
	// GracePeriod is how long a registration that lapsed in an outage has to come back after the platform
	// answers again.
	GracePeriod time.Duration
	// Retention is how long an upstream that is gone and the former services of a route stay known. It
	// should be as long as a flow lives.
	Retention time.Duration
	// RequireEvacuations requires evacuations to be known before flows are placed.
	RequireEvacuations bool
}

const (
	// defaultGracePeriod is the two seconds that the platform's operators state for registrations to come
	// back, plus some time for a registration to reach this entry.
	defaultGracePeriod = 2500 * time.Millisecond
	defaultRetention   = 60 * time.Second
)

// record holds what the builder knows about one upstream.
type record struct {
	up            *Upstream // for reading only; edit returns it for changes
	until         time.Time // Missing: when it counts as gone; Gone: when it is forgotten
	remoteMissing bool      // Missing: another entry reported this and will report whether it ended
	// wasLeaving is set if the upstream announced before a restore that it is leaving. The same incarnation
	// never takes that back.
	wasLeaving bool
	// invalid is set if the upstream counts as leaving only because another writer overwrote its registration.
	invalid bool
	// mirrored is set if the mirrored entry has sent the upstream.
	mirrored bool
	// The fields below are maintained by recordShards.
	indexed  bool
	snapshot *Upstream // the upstream as the last table has it; nil if it has changed since
}

// edit returns the upstream for changes. If a table refers to the current value, edit copies it first.
func (rec *record) edit() *Upstream {
	if rec.up == rec.snapshot {
		u := *rec.up
		rec.up = &u
	}
	return rec.up
}

// restart replaces the record with that of a new incarnation.
func (rec *record) restart(now time.Time, r *stoatpaddle.Registration) {
	indexed := rec.indexed
	*rec = *newRecord(now, r)
	rec.edit().RestartedAt = now
	rec.indexed = indexed
}

// Builder accumulates what the platform and other entries report about routes and upstreams, and builds
// immutable Tables from it. It must not be used by several goroutines at once.
type Builder struct {
	cfg              Config
	decl             stoatpaddle.Declaration
	era              stoatpaddle.Era     // era of all revisions below; 0: unknown
	revision         stoatpaddle.Version // revision of decl; 0: it belongs to an earlier era
	restoreGraceEnd  time.Time           // until then, what the platform lacks may have been lost in a restore
	routes           map[netip.AddrPort]*Route
	removed          map[netip.AddrPort]uint64 // see Table
	removedForgotten uint64                    // see Table
	formerUntil      map[formerKey]time.Time   // until when flows may be open at former services of routes
	records          map[stoatpaddle.UpstreamID]*record
	ending           map[stoatpaddle.UpstreamID]*record // the records that are missing or gone
	currentAsOf      time.Time                          // see CurrentAsOf
	partsAsOf        partTimes                          // see Table.AsOf
	declared         bool
	listed           bool
	mirroring        bool // another entry reports whether missing registrations ended
	claims           map[stoatpaddle.UpstreamID]claim
	// absentAsOf has the upstreams that are missing or gone because a state lacked them, not because their end was reported,
	// and the revision of that state. A state as of the same or a later revision that has one proves the contrary.
	absentAsOf     map[stoatpaddle.UpstreamID]stoatpaddle.Version
	changeSeq      uint64 // number of changes so far
	declarationSeq uint64 // changeSeq when decl was adopted or former services were added last
	evacuations
	interner     interner
	recordShards recordShards
	table        *Table
	dirty        bool // more than partsAsOf has changed since table was built
}

// NewBuilder returns an empty builder.
func NewBuilder(cfg Config) *Builder {
	return &Builder{
		cfg: cfg.withDefaults(), routes: map[netip.AddrPort]*Route{}, records: map[stoatpaddle.UpstreamID]*record{}, dirty: true,
		ending: map[stoatpaddle.UpstreamID]*record{}, claims: map[stoatpaddle.UpstreamID]claim{}, absentAsOf: map[stoatpaddle.UpstreamID]stoatpaddle.Version{},
	}
}

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.GracePeriod == 0 {
		c.GracePeriod = defaultGracePeriod
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	return c
}

// SetConfig changes the configuration for everything that is applied from now on.
func (b *Builder) SetConfig(cfg Config) { b.cfg = cfg.withDefaults(); b.dirty = true }

// KeyOf returns the key, also called cookie, that identifies the upstream in packets. It is never 0, which
// identifies no upstream. Targets of 32 bits map one to one. A hash would give two of 43,000 upstreams the
// same key one time in five.
func KeyOf(t stoatpaddle.TargetID) stoatpaddle.UpstreamKey {
	const half = 32
	if k := stoatpaddle.UpstreamKey(t) ^ stoatpaddle.UpstreamKey(t>>half); k != 0 {
		return k
	}
	return 1
}

// ApplyDeclaration adopts a declaration and reports whether it did. A declaration that was written earlier
// than the one in force is ignored, whoever sends it, so that the configuration never reverts. Revision 0 means
// that the declaration belongs to an earlier era; then only its version is compared.
func (b *Builder) ApplyDeclaration(d stoatpaddle.Declaration, revision stoatpaddle.Version) bool {
	if b.declared && (revision != 0 && revision <= b.revision || d.Version <= b.decl.Version) {
		return false
	}
	routes := make(map[netip.AddrPort]*Route, len(d.Routes))
	b.changeSeq++
	for _, r := range d.Routes {
		n := &Route{Route: r, ChangeSeq: b.changeSeq, everUsed: map[stoatpaddle.ServiceID]bool{}}
		// A route that moved to another service keeps its open flows at the former one.
		if old := b.routes[r.Listen]; old != nil {
			if sameRoute(&old.Route, &r) {
				n.ChangeSeq = old.ChangeSeq
			}
			for s := range old.everUsed {
				n.everUsed[s] = true
			}
		}
		for _, s := range r.Backends {
			n.everUsed[s.Service] = true
		}
		for _, s := range r.FormerServices {
			n.everUsed[s] = true
		}
		routes[r.Listen] = n
	}
	b.recordRemovals(routes)
	b.recordShards.staleAll = b.recordShards.staleAll || !maps.Equal(b.decl.MaxFlows, d.MaxFlows) || !maps.Equal(b.decl.ColdRates, d.ColdRates)
	b.decl, b.revision, b.routes, b.declared, b.dirty = d, revision, routes, true, true
	b.declarationSeq = b.changeSeq
	return true
}

// AddFormerServices adds the services that routes had in a configuration no later than the one in force,
// and reports whether any of them was unknown. Without them, an entry that starts after a route moved to another
// service would take the cookies of flows at the former service for forged.
func (b *Builder) AddFormerServices(routes []stoatpaddle.Route) bool {
	var updated []*Route
	for i := range routes {
		known := b.routes[routes[i].Listen]
		if known == nil {
			continue
		}
		if n := known.withServices(&routes[i]); n != known {
			updated = append(updated, n)
		}
	}
	if len(updated) == 0 {
		return false
	}
	b.changeSeq++
	b.routes = maps.Clone(b.routes) // tables refer to the old map
	for _, n := range updated {
		n.ChangeSeq = b.changeSeq
		b.routes[n.Listen] = n
	}
	b.declarationSeq, b.dirty = b.changeSeq, true
	return true
}

// sameRoute reports whether two versions of a route are equal. Former services are not compared.
func sameRoute(a, b *stoatpaddle.Route) bool {
	return a.Listen == b.Listen && a.Idempotent == b.Idempotent && a.Priority == b.Priority &&
		a.TargetLatency == b.TargetLatency && slices.Equal(a.Backends, b.Backends) && slices.Equal(a.Regions, b.Regions)
}

// maxRemoved limits the memory for removed routes. An entry whose knowledge is older than the removals that
// were forgotten gets the whole configuration.
const maxRemoved = 4096

// recordRemovals records which routes a declaration with the given routes removes.
func (b *Builder) recordRemovals(routes map[netip.AddrPort]*Route) {
	removed := make(map[netip.AddrPort]uint64, len(b.removed))
	for listen, at := range b.removed {
		if routes[listen] == nil {
			removed[listen] = at
		}
	}
	for listen := range b.routes {
		if routes[listen] == nil {
			removed[listen] = b.changeSeq
		}
	}
	if len(removed) > maxRemoved {
		removed, b.removedForgotten = nil, b.changeSeq
	}
	b.removed = removed
}

// recordChange records that an upstream has changed.
func (b *Builder) recordChange(rec *record) {
	b.changeSeq++
	rec.edit().ChangeSeq, b.dirty = b.changeSeq, true
	b.recordShards.markStale(rec)
	if rec.up.State >= Missing {
		b.ending[rec.up.ID] = rec
	} else {
		delete(b.ending, rec.up.ID)
		delete(b.absentAsOf, rec.up.ID)
	}
}

// MarkGone records that a registration ended while the platform was answering, and reports whether that is a
// change.
func (b *Builder) MarkGone(now time.Time, id stoatpaddle.UpstreamID, revision stoatpaddle.Version) bool {
	rec := b.records[id]
	if rec == nil || revision < rec.up.Revision || rec.up.State == Gone {
		return false
	}
	rec.edit().Revision = revision
	delete(b.absentAsOf, id)
	b.setGone(now, rec)
	return true
}

// MarkMissing records that a registration ended while no entry was reading the platform on behalf of this
// one, and reports whether that is a change. The registration may have lapsed in an outage, so it has
// Config.GracePeriod to come back.
func (b *Builder) MarkMissing(now time.Time, id stoatpaddle.UpstreamID, revision stoatpaddle.Version) bool {
	rec := b.records[id]
	if rec == nil || revision < rec.up.Revision || rec.up.State >= Missing {
		return false
	}
	rec.edit().Revision = revision
	delete(b.absentAsOf, id)
	b.setMissing(now, rec)
	return true
}

// setGone records that the upstream has ended.
func (b *Builder) setGone(now time.Time, rec *record) {
	u := rec.edit()
	u.State, u.EndedAt, rec.until = Gone, now, now.Add(b.cfg.Retention)
	b.recordChange(rec)
}

// ApplyList applies a list of registrations that is complete as of a revision, and returns the upstreams that it
// lacks. These have ended, unless the list follows an outage of the platform. After an outage they have
// Config.GracePeriod to come back, because an upstream whose registration lapsed in the outage may have been serving
// all the time. A list says nothing about a registration that was written after its revision, which another entry or
// a later page may have shown.
func (b *Builder) ApplyList(now time.Time, names map[stoatpaddle.UpstreamID]bool, asOf stoatpaddle.Version, afterOutage bool) []stoatpaddle.UpstreamID {
	b.listed, b.dirty = true, true
	var lacking []stoatpaddle.UpstreamID
	for id, rec := range b.records {
		if names[id] || rec.up.State >= Missing || rec.up.Revision > asOf {
			continue
		}
		lacking = append(lacking, id)
		b.absentAsOf[id] = asOf
		if afterOutage {
			b.setMissing(now, rec)
			continue
		}
		b.setGone(now, rec)
	}
	slices.Sort(lacking)
	return lacking
}

// setMissing records that the registration may have lapsed, and starts its grace period.
func (b *Builder) setMissing(now time.Time, rec *record) {
	rec.edit().State, rec.until, rec.remoteMissing = Missing, now.Add(b.cfg.GracePeriod), false
	b.recordChange(rec)
}

// MarkCurrent records that the whole state was current when a call was sent at the given time.
func (b *Builder) MarkCurrent(sent time.Time) {
	if sent.After(b.currentAsOf) {
		b.currentAsOf = sent
	}
	b.MarkPartsCurrent(allParts, sent)
}

// MarkPartsCurrent records that parts of the state were current when a call was sent at the given time. Soon after
// a restore this does not imply that something unknown has ended: the restore may have lost a registration or a
// configuration, and taking it for ended would reset open flows.
func (b *Builder) MarkPartsCurrent(parts Parts, sent time.Time) {
	if !sent.Before(b.restoreGraceEnd) {
		b.partsAsOf.advance(parts|parts.OfReplica(), sent)
	}
}

// MarkPartsRead records that a replica showed parts of the state when a call was sent at the given time.
func (b *Builder) MarkPartsRead(parts Parts, sent time.Time) {
	if !sent.Before(b.restoreGraceEnd) {
		b.partsAsOf.advance(parts.OfReplica(), sent)
	}
}

// RestartGracePeriod restarts the grace period of every missing registration, because the platform stopped
// answering again before they could come back.
func (b *Builder) RestartGracePeriod(now time.Time) {
	for _, rec := range b.ending {
		if rec.up.State == Missing {
			rec.until = now.Add(b.cfg.GracePeriod)
		}
	}
}

// SetMirroring sets whether this entry mirrors another entry, which reads the platform. When it stops mirroring,
// missing registrations get a full grace period.
func (b *Builder) SetMirroring(now time.Time, mirroring bool) {
	if b.mirroring && !mirroring {
		b.RestartGracePeriod(now)
	}
	if !mirroring {
		clear(b.claims)
	}
	b.mirroring = mirroring
}

// Declaration returns the declaration in force.
func (b *Builder) Declaration() stoatpaddle.Declaration { return b.decl }

// CurrentAsOf returns the time at which the latest call was sent whose answer showed that the whole state was
// current.
func (b *Builder) CurrentAsOf() time.Time { return b.currentAsOf }

// Expire ends registrations that have been missing for too long, and forgets upstreams that ended long ago.
// It returns the upstreams whose registrations it ended.
func (b *Builder) Expire(now time.Time) []stoatpaddle.UpstreamID {
	var ended []stoatpaddle.UpstreamID
	for id, rec := range b.ending {
		switch {
		case now.Before(rec.until) || b.mirroring && rec.up.State == Missing && rec.remoteMissing:
			// It is not time yet, or the mirrored entry will report the end.
		case rec.up.State == Missing:
			b.setGone(now, rec)
			ended = append(ended, id)
		default:
			delete(b.records, id)
			delete(b.ending, id)
			delete(b.absentAsOf, id)
			b.recordShards.remove(rec)
			b.dirty = true
		}
	}
	slices.Sort(ended)
	return ended
}

// Lookup returns what is known about an upstream, which may also be gone.
func (b *Builder) Lookup(id stoatpaddle.UpstreamID) (Upstream, bool) {
	rec := b.records[id]
	if rec == nil {
		return Upstream{}, false
	}
	return *rec.up, true
}

// Table returns the current snapshot. If only AsOf has changed, the snapshot shares everything else
// with the last one, because that happens every few seconds however many upstreams there are.
func (b *Builder) Table() *Table {
	switch {
	case b.dirty:
		b.table, b.dirty = b.buildTable(), false
	case b.table.partsAsOf != b.partsAsOf:
		t := *b.table
		t.partsAsOf = b.partsAsOf
		b.table = &t
	}
	return b.table
}

// buildTable builds a new snapshot that shares unchanged shards with the last one.
func (b *Builder) buildTable() *Table {
	t := &Table{
		Declaration: b.decl, Revision: b.revision, Era: b.era, partsAsOf: b.partsAsOf, Declared: b.declared, Listed: b.listed,
		ChangeSeq: b.changeSeq, DeclarationSeq: b.declarationSeq, evacuations: b.evacuations.clone(b.cfg.RequireEvacuations),
		routes: b.routes, removed: b.removed, removedForgotten: b.removedForgotten,
	}
	last := &shards{}
	if b.table != nil {
		last = b.table.shards
	}
	t.shards = b.recordShards.nextShards(last, &b.decl)
	return t
}

// registeredFirst reports whether a registered before b. Of two upstreams with the same key the first one
// keeps it, because it may have flows. The other one gets no flows, because its packets would go to the
// first one. Only targets longer than 32 bits can share a key; of 43,000 upstreams two do so one time in five.
func registeredFirst(a, b *Upstream) bool {
	if a.CreateRevision != b.CreateRevision {
		return a.CreateRevision < b.CreateRevision
	}
	return a.ID < b.ID
}

// KeyConflict returns the upstream to which the key of the given one belongs, if that is another upstream.
func (b *Builder) KeyConflict(id stoatpaddle.UpstreamID) (stoatpaddle.UpstreamID, bool) {
	rec := b.records[id]
	if rec == nil {
		return "", false
	}
	for _, other := range b.recordShards.records[shardOfKey(rec.up.Key)] {
		if other != rec && other.up.Key == rec.up.Key && registeredFirst(other.up, rec.up) {
			return other.up.ID, true
		}
	}
	return "", false
}
