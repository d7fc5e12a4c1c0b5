package stoatroute

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

func newEntry(now time.Time, r *stoatpaddle.Registration) *entry {
	return &entry{up: &Upstream{Key: KeyOf(r.Target), WarmAt: now.Add(r.Cold), StartedCold: r.Cold > 0}}
}

// cooled takes in how much longer the upstream says to be cold. One may become cold without a start,
// as when its data centre was evacuated.
func (e *entry) cooled(now time.Time, cold time.Duration) {
	u := e.edit()
	u.WarmAt = now.Add(cold)
	u.StartedCold = u.StartedCold || cold > 0
}

// Config configures a Book; zero values take the defaults.
type Config struct {
	// GracePeriod is how long after the platform's return a registration that lapsed meanwhile
	// may take to come back.
	GracePeriod time.Duration
	// Retention is how long an upstream that is gone stays known, and a route the services it
	// had: as long as a flow lives.
	Retention time.Duration
	// RequireEvacuations says that evacuations are to be known before flows are placed.
	RequireEvacuations bool
}

const (
	// defaultReturn is the two seconds that the platform's operators name, and a little for
	// the news to arrive.
	defaultReturn = 2500 * time.Millisecond
	defaultKeep   = 60 * time.Second
)

// entry is what the book has on one upstream.
type entry struct {
	up    *Upstream // to read; edit returns it to change
	until time.Time // Missing: when it counts as gone; Gone: when it is forgotten
	held  bool      // Missing: another entry said so, and will say what became of it
	// left is set if it said before a restore that it leaves, which no life takes back.
	left bool
	// spoiled is set if it counts as leaving only since another writer wrote over its entry.
	spoiled bool
	// Of members.
	noted    bool
	snapshot *Upstream // as the last table has it; nil: it changed since
}

// edit returns what is known of the upstream, to be changed: a copy, if a table has it.
func (e *entry) edit() *Upstream {
	if e.up == e.snapshot {
		u := *e.up
		e.up = &u
	}
	return e.up
}

// renew makes the entry that of another life.
func (e *entry) renew(now time.Time, r *stoatpaddle.Registration) {
	noted := e.noted
	*e = *newEntry(now, r)
	e.edit().RestartedAt = now
	e.noted = noted
}

// Builder gathers what the platform says. One goroutine uses it.
type Builder struct {
	cfg      Config
	decl     stoatpaddle.Declaration
	era      stoatpaddle.Era     // of all revisions here; 0: not said
	revision stoatpaddle.Version // of the declaration; 0: of an earlier era
	settled  time.Time           // what the platform lacks before that may have been lost in a restore
	routes   map[netip.AddrPort]*Route
	dropped  map[netip.AddrPort]uint64 // see Table
	forgot   uint64
	former   map[formerKey]time.Time // until when flows may be open at services that routes had
	ups      map[stoatpaddle.UpstreamID]*entry
	ending   map[stoatpaddle.UpstreamID]*entry // those of them that are missing or gone
	proven   time.Time
	absent   time.Time // whatever is not known here did not exist then
	declared bool
	listed   bool
	follows  bool   // another entry says what becomes of missing registrations
	changes  uint64 // so many so far
	altered  uint64 // changes when decl was adopted
	evacuations
	names   names
	members members
	table   *Table
	dirty   bool // more than proven changed since table was made
}

// NewBuilder returns an empty Book.
func NewBuilder(cfg Config) *Builder {
	return &Builder{
		cfg: cfg.filled(), routes: map[netip.AddrPort]*Route{}, ups: map[stoatpaddle.UpstreamID]*entry{}, dirty: true,
		ending: map[stoatpaddle.UpstreamID]*entry{},
	}
}

func (c Config) filled() Config {
	if c.GracePeriod == 0 {
		c.GracePeriod = defaultReturn
	}
	if c.Retention == 0 {
		c.Retention = defaultKeep
	}
	return c
}

// SetConfig changes the bounds for what is taken in from now on.
func (b *Builder) SetConfig(cfg Config) { b.cfg = cfg.filled(); b.dirty = true }

// KeyOf returns the cookie that names the upstream; 0 names none. Targets of 32 bits map one
// to one; a hash would let two of 43,000 upstreams share a cookie one time in five.
func KeyOf(t stoatpaddle.Target) stoatpaddle.UpstreamKey {
	const half = 32
	if k := stoatpaddle.UpstreamKey(t) ^ stoatpaddle.UpstreamKey(t>>half); k != 0 {
		return k
	}
	return 1
}

// ApplyDeclaration adopts a declaration and tells whether it is news. One that was written earlier
// than the one in force is ignored, whoever brings it: what is in force never reverts. Revision 0 is
// of an earlier era, of which the version alone tells.
func (b *Builder) ApplyDeclaration(d stoatpaddle.Declaration, revision stoatpaddle.Version) bool {
	if b.declared && (revision != 0 && revision <= b.revision || d.Version <= b.decl.Version) {
		return false
	}
	routes := make(map[netip.AddrPort]*Route, len(d.Routes))
	priorities := prioritiesOf(d.Routes)
	b.changes++
	for _, r := range d.Routes {
		n := &Route{Route: r, HasPrecedence: priorities.urgent(&r), Yields: priorities.yields(&r), ChangeSeq: b.changes, had: map[stoatpaddle.ServiceID]bool{}}
		// A route that moved to another service keeps the open flows at the one before.
		if old := b.routes[r.Listen]; old != nil {
			if sameRoute(&old.Route, &r) {
				n.ChangeSeq = old.ChangeSeq
			}
			for s := range old.had {
				n.had[s] = true
			}
		}
		for _, s := range r.Backends {
			n.had[s.Service] = true
		}
		for _, s := range r.Earlier {
			n.had[s] = true
		}
		routes[r.Listen] = n
	}
	b.drop(routes)
	b.members.staleAll = b.members.staleAll || !maps.Equal(b.decl.Caps, d.Caps) || !maps.Equal(b.decl.ColdRates, d.ColdRates)
	b.decl, b.revision, b.routes, b.declared, b.dirty = d, revision, routes, true, true
	b.altered = b.changes
	return true
}

// AddFormerServices takes in which services routes had, by a configuration that is no later than the one in force, and tells
// whether that is news. Without it, an entry that starts after a route moved to another service would take the
// cookies of flows at the service before for forged.
func (b *Builder) AddFormerServices(routes []stoatpaddle.Route) bool {
	var recalled []*Route
	for i := range routes {
		held := b.routes[routes[i].Listen]
		if held == nil {
			continue
		}
		if n := held.recall(&routes[i]); n != held {
			recalled = append(recalled, n)
		}
	}
	if len(recalled) == 0 {
		return false
	}
	b.changes++
	b.routes = maps.Clone(b.routes) // tables have the one before
	for _, n := range recalled {
		n.ChangeSeq = b.changes
		b.routes[n.Listen] = n
	}
	b.altered, b.dirty = b.changes, true
	return true
}

func sameRoute(a, b *stoatpaddle.Route) bool {
	return a.Listen == b.Listen && a.Idempotent == b.Idempotent && a.Priority == b.Priority &&
		a.Objective == b.Objective && slices.Equal(a.Backends, b.Backends) && slices.Equal(a.Regions, b.Regions)
}

// maxDropped bounds the memory of routes that were taken out. Whoever knows less than what is
// forgotten is told everything.
const maxDropped = 4096

// drop notes which routes the declaration with these takes out.
func (b *Builder) drop(routes map[netip.AddrPort]*Route) {
	dropped := make(map[netip.AddrPort]uint64, len(b.dropped))
	for listen, at := range b.dropped {
		if routes[listen] == nil {
			dropped[listen] = at
		}
	}
	for listen := range b.routes {
		if routes[listen] == nil {
			dropped[listen] = b.changes
		}
	}
	if len(dropped) > maxDropped {
		dropped, b.forgot = nil, b.changes
	}
	b.dropped = dropped
}

// changed notes that an upstream is not what it was.
func (b *Builder) changed(e *entry) {
	b.changes++
	e.edit().ChangeSeq, b.dirty = b.changes, true
	b.members.note(e)
	if e.up.State >= Missing {
		b.ending[e.up.ID] = e
	} else {
		delete(b.ending, e.up.ID)
	}
}

// MarkGone takes in that a registration ended while the platform answered.
func (b *Builder) MarkGone(now time.Time, id stoatpaddle.UpstreamID, revision stoatpaddle.Version) bool {
	e := b.ups[id]
	if e == nil || revision < e.up.Revision || e.up.State == Gone {
		return false
	}
	e.edit().Revision = revision
	b.end(now, e)
	return true
}

// MarkMissing takes in that a registration ended while nobody asked the platform for this entry: it
// may have lapsed in an outage, and has Config.Return to come back.
func (b *Builder) MarkMissing(now time.Time, id stoatpaddle.UpstreamID, revision stoatpaddle.Version) bool {
	e := b.ups[id]
	if e == nil || revision < e.up.Revision || e.up.State >= Missing {
		return false
	}
	e.edit().Revision = revision
	b.miss(now, e)
	return true
}

func (b *Builder) end(now time.Time, e *entry) {
	u := e.edit()
	u.State, u.EndedAt, e.until = Gone, now, now.Add(b.cfg.Retention)
	b.changed(e)
}

// ApplyList takes in which registrations a complete list held. Those that it lacks have ended,
// unless the platform had been away: then they have Config.Return to come back, for an
// upstream whose registration lapsed with the platform may serve all the while.
func (b *Builder) ApplyList(now time.Time, names map[stoatpaddle.UpstreamID]bool, away bool) []stoatpaddle.UpstreamID {
	b.listed, b.dirty = true, true
	var lost []stoatpaddle.UpstreamID
	for id, e := range b.ups {
		if names[id] || e.up.State >= Missing {
			continue
		}
		lost = append(lost, id)
		if away {
			b.miss(now, e)
			continue
		}
		b.end(now, e)
	}
	slices.Sort(lost)
	return lost
}

func (b *Builder) miss(now time.Time, e *entry) {
	e.edit().State, e.until, e.held = Missing, now.Add(b.cfg.GracePeriod), false
	b.changed(e)
}

// MarkCurrent notes that the upstreams were up to date when a question was sent at that time. Soon after a
// restore that does not say that an upstream which is not known has ended: its registration may be
// lost, and an open flow there would be reset.
func (b *Builder) MarkCurrent(sent time.Time) {
	if sent.After(b.proven) {
		b.proven = sent
	}
	if sent.After(b.absent) && !sent.Before(b.settled) {
		b.absent = sent
	}
}

// RestartGracePeriod gives every missing registration its full time to come back from now on: the
// platform went away again before they could.
func (b *Builder) RestartGracePeriod(now time.Time) {
	for _, e := range b.ending {
		if e.up.State == Missing {
			e.until = now.Add(b.cfg.GracePeriod)
		}
	}
}

// SetMirroring tells whether another entry, which asks the platform, is mirrored from now on. When
// none is any more, what is missing has its full time to come back.
func (b *Builder) SetMirroring(now time.Time, follows bool) {
	if b.follows && !follows {
		b.RestartGracePeriod(now)
	}
	b.follows = follows
}

// Declaration returns what is in force.
func (b *Builder) Declaration() stoatpaddle.Declaration { return b.decl }

// CurrentAsOf returns when the question was sent whose answer last proved the upstreams up to date.
func (b *Builder) CurrentAsOf() time.Time { return b.proven }

// Expire ends what is missing for too long and forgets what ended long ago.
func (b *Builder) Expire(now time.Time) []stoatpaddle.UpstreamID {
	var ended []stoatpaddle.UpstreamID
	for id, e := range b.ending {
		switch {
		case now.Before(e.until) || b.follows && e.up.State == Missing && e.held:
		case e.up.State == Missing:
			b.end(now, e)
			ended = append(ended, id)
		default:
			delete(b.ups, id)
			delete(b.ending, id)
			b.members.forget(e)
			b.dirty = true
		}
	}
	slices.Sort(ended)
	return ended
}

// Lookup returns what the book has on an upstream.
func (b *Builder) Lookup(id stoatpaddle.UpstreamID) (Upstream, bool) {
	e := b.ups[id]
	if e == nil {
		return Upstream{}, false
	}
	return *e.up, true
}

// Table returns the present snapshot. A new proof alone shares everything else with the one
// before: it comes every few seconds, to as many upstreams as there are.
func (b *Builder) Table() *Table {
	switch {
	case b.dirty:
		b.table, b.dirty = b.build(), false
	case b.table.CompleteAsOf != b.absent:
		t := *b.table
		t.CompleteAsOf = b.absent
		b.table = &t
	}
	return b.table
}

func (b *Builder) build() *Table {
	t := &Table{
		Declaration: b.decl, Revision: b.revision, Era: b.era, CompleteAsOf: b.absent, Declared: b.declared, Listed: b.listed,
		ChangeSeq: b.changes, DeclarationSeq: b.altered, evacuations: b.evacuations.clone(b.cfg.RequireEvacuations),
		routes: b.routes, dropped: b.dropped, forgot: b.forgot,
	}
	last := &shards{}
	if b.table != nil {
		last = b.table.shards
	}
	t.shards = b.members.next(last, &b.decl)
	return t
}

// older tells which of two upstreams with one cookie keeps it: the one that registered
// first, for it may have flows. The other gets none, or its packets would go to the first.
// Targets longer than 32 bits can meet so; of 43,000 upstreams two do one time in five.
func older(a, b *Upstream) bool {
	if a.Created != b.Created {
		return a.Created < b.Created
	}
	return a.ID < b.ID
}

// KeyConflict returns the upstream that has the cookie of another one and keeps it, if there is one.
func (b *Builder) KeyConflict(id stoatpaddle.UpstreamID) (stoatpaddle.UpstreamID, bool) {
	e := b.ups[id]
	if e == nil {
		return "", false
	}
	for _, o := range b.members.inShard[shardOfKey(e.up.Key)] {
		if o != e && o.up.Key == e.up.Key && older(o.up, e.up) {
			return o.up.ID, true
		}
	}
	return "", false
}
