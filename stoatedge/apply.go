package stoatedge

import (
	"strconv"
	"strings"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// apply takes in what an answer of the platform, or a parent, brought.
func (k *keeper) apply(now time.Time, t topic, changes []change, source string) {
	for i := range changes {
		c := &changes[i]
		switch {
		case c.fault != nil:
			k.log(EventInvalidObject, stoatevent.F("object", c.name), stoatevent.F("revision", c.revision.String()), stoatevent.F("cause", c.fault.Error()))
			if t == evacuations && c.name != "" {
				// The request is the name: what else is in it says nothing.
				k.evacuate(stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(c.name), Revision: c.revision}, source)
			}
			if t == upstreams && k.book.MarkInvalid(now, stoatpaddle.UpstreamID(c.name), c.target, c.revision) {
				k.standing(stoatpaddle.UpstreamID(c.name), "its entry cannot be read")
			}
		case c.declaration != nil:
			if k.book.ApplyDeclaration(*c.declaration, c.revision) {
				k.log(EventConfigApplied, stoatevent.F("version", c.declaration.Version.String()), stoatevent.F("revision", c.revision.String()),
					stoatevent.F("routes", countOf(len(c.declaration.Routes))), stoatevent.F("source", source))
				k.keepFormer(now)
			} else {
				k.notTaken(c, source)
			}
		case c.evacuation != nil:
			k.evacuate(*c.evacuation, source)
		case c.gone && t == upstreams && k.unwatched:
			k.lapse(now, c, "registration ended while nobody watched")
		case c.gone && t == upstreams && now.Before(k.settled):
			// Its lease, of before the outage, may have ended before the upstream could renew it.
			k.lapse(now, c, "registration ended after a restore")
		case c.gone && t == upstreams:
			if k.book.MarkGone(now, stoatpaddle.UpstreamID(c.name), c.revision) {
				k.standing(stoatpaddle.UpstreamID(c.name), "registration ended")
			}
		case c.registration != nil:
			k.register(now, c, source)
		}
	}
}

// keepFormer takes in what was kept of the routes of a configuration that is new, and has those that lost a
// service kept. Seeds keep it, since they read the platform in any case.
func (k *keeper) keepFormer(now time.Time) {
	k.book.RestoreFormerServices(now, k.former)
	former, news := k.book.FormerServices(now)
	if news && !k.follow.allowed {
		k.do(remember{version: k.book.Declaration().Version, former: former})
	}
}

// lapse takes in that a registration ended which may come back.
func (k *keeper) lapse(now time.Time, c *change, why string) {
	if k.book.MarkMissing(now, stoatpaddle.UpstreamID(c.name), c.revision) {
		k.standing(stoatpaddle.UpstreamID(c.name), why)
	}
}

// notTaken says once that a later version was read and put aside.
func (k *keeper) notTaken(c *change, source string) {
	t := k.book.Table()
	if c.declaration.Version <= t.Declaration.Version || c.declaration.Version == k.refused {
		return
	}
	k.refused = c.declaration.Version
	k.log(EventConfigRejected, stoatevent.F("version", c.declaration.Version.String()), stoatevent.F("revision", c.revision.String()),
		stoatevent.F("inforce", t.Declaration.Version.String()), stoatevent.F("known", t.Revision.String()), stoatevent.F("source", source))
}

// evacuate takes in what operators want of a data centre.
func (k *keeper) evacuate(e stoatpaddle.Evacuation, source string) {
	if k.book.ApplyEvacuation(e) {
		k.logEvacuation(e, source)
	}
}

func (k *keeper) logEvacuation(e stoatpaddle.Evacuation, source string) {
	entry := EventEvacuated
	if e.Withdrawn {
		entry = EventEvacuationWithdrawn
	}
	k.log(entry, stoatevent.F("centre", string(e.DataCentre)), stoatevent.F("revision", e.Revision.String()), stoatevent.F("source", source))
}

// register takes in what an upstream says about itself.
func (k *keeper) register(now time.Time, c *change, source string) {
	before, _ := k.book.Lookup(c.registration.ID)
	switch outcome := k.book.Register(now, *c.registration, c.revision); outcome {
	case stoatroute.Unchanged:
	case stoatroute.Changed:
		k.newcomer(c.registration.ID, source)
	case stoatroute.Restarted, stoatroute.Outdated, stoatroute.Contradicted:
		k.log(EventIncarnation, stoatevent.F("upstream", string(c.registration.ID)), stoatevent.F("outcome", outcome.String()),
			stoatevent.F("known", lifeText(&before.Registration)), stoatevent.F("read", lifeText(c.registration)), stoatevent.F("revision", c.revision.String()))
		if outcome != stoatroute.Outdated {
			k.standing(c.registration.ID, outcome.String())
		}
	}
}

// newcomer logs an upstream that is new, or whose standing is. Before the entry is ready there
// would be a line for each that there is; SP1402 names them in one.
func (k *keeper) newcomer(id stoatpaddle.UpstreamID, why string) {
	if k.ready {
		k.standing(id, why)
	}
	k.clash(id)
}

// lifeText tells a registration's incarnation, and what an upstream keeps for all of it.
func lifeText(r *stoatpaddle.Registration) string {
	return strconv.FormatUint(uint64(r.Incarnation), 10) + " " + string(r.Service) + " " + r.Addr.String()
}

// maxLinesAtOnce is how many upstreams have a line of their own at one moment.
//
// The load: the store was away, and 150 of 293 registrations lapse at once, at each of 195 entries:
// 30,559 lines in 27 s. At 43,000 upstreams one outage would be as many lines an entry.
const maxLinesAtOnce = 8

// standingChange is what an upstream's standing came to be, and why.
type standingChange struct {
	id       stoatpaddle.UpstreamID
	standing stoatroute.State
	why      string
}

// standing notes that an upstream's standing changed, for the log.
func (k *keeper) standing(id stoatpaddle.UpstreamID, why string) {
	u, _ := k.book.Lookup(id)
	k.changes = append(k.changes, standingChange{id: id, standing: u.State, why: why})
}

// logStandings writes what changed in this step: a line for each of a few, and one for each standing
// and cause where there are many.
func (k *keeper) logStandings() {
	list := k.changes
	k.changes = nil
	if len(list) <= maxLinesAtOnce {
		for i := range list {
			k.logStanding(&list[i])
		}
		return
	}
	type kind struct {
		standing stoatroute.State
		why      string
	}
	var kinds []kind
	names := map[kind][]string{}
	for i := range list {
		c := kind{standing: list[i].standing, why: list[i].why}
		if names[c] == nil {
			kinds = append(kinds, c)
		}
		names[c] = append(names[c], string(list[i].id))
	}
	for _, c := range kinds {
		k.log(EventStandingsChanged, stoatevent.F("standing", c.standing.String()), stoatevent.F("why", c.why),
			stoatevent.F("count", countOf(len(names[c]))), stoatevent.F("names", joinNames(names[c])))
	}
}

func (k *keeper) logStanding(c *standingChange) {
	u, _ := k.book.Lookup(c.id)
	k.log(EventStandingChanged, stoatevent.F("upstream", string(c.id)), stoatevent.F("service", string(u.Service)),
		stoatevent.F("centre", string(u.DataCentre)), stoatevent.F("addr", u.Addr.String()),
		stoatevent.F("standing", c.standing.String()), stoatevent.F("why", c.why))
}

// clash reports an upstream that cannot get flows because another has its cookie.
func (k *keeper) clash(id stoatpaddle.UpstreamID) {
	if other, ok := k.book.KeyConflict(id); ok {
		k.log(EventCookieClash, stoatevent.F("upstream", string(id)), stoatevent.F("holder", string(other)))
	}
}

// maxNames bounds the names in one line.
const maxNames = 64

// namesOf names the upstreams of a table, as many as fit in a line.
func namesOf(t *stoatroute.Table) string {
	var names []string
	for _, u := range t.Upstreams() {
		names = append(names, string(u.ID))
	}
	return joinNames(names)
}

// joinNames joins as many names as fit in a line.
func joinNames(names []string) string {
	if len(names) > maxNames {
		names = append(names[:maxNames:maxNames], "and more")
	}
	return strings.Join(names, " ")
}

func countOf(n int) string { return strconv.Itoa(n) }
