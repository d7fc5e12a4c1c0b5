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
func (ctl *controller) apply(now time.Time, t topic, changes []change, source string) {
	for i := range changes {
		c := &changes[i]
		switch {
		case c.fault != nil:
			ctl.log(EventInvalid, stoatevent.F("object", c.name), stoatevent.F("revision", c.revision.String()), stoatevent.F("cause", c.fault.Error()))
			if t == evacuations && c.name != "" {
				// The request is the name: what else is in it says nothing.
				ctl.evacuate(stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(c.name), Revision: c.revision}, source)
			}
			if t == upstreams && ctl.book.Spoil(now, stoatpaddle.UpstreamID(c.name), c.target, c.revision) {
				ctl.noteStanding(stoatpaddle.UpstreamID(c.name), "its entry cannot be read")
			}
		case c.declaration != nil:
			if ctl.book.Declare(*c.declaration, c.revision) {
				ctl.log(EventDeclared, stoatevent.F("version", c.declaration.Version.String()), stoatevent.F("revision", c.revision.String()),
					stoatevent.F("routes", countText(len(c.declaration.Routes))), stoatevent.F("source", source))
				ctl.updateFormer(now)
			} else {
				ctl.logRejected(c, source)
			}
		case c.evacuation != nil:
			ctl.evacuate(*c.evacuation, source)
		case c.deleted && t == upstreams && ctl.unwatched:
			ctl.lapse(now, c, "registration ended while nobody watched")
		case c.deleted && t == upstreams && now.Before(ctl.restoreGraceEnd):
			// Its lease, of before the outage, may have ended before the upstream could renew it.
			ctl.lapse(now, c, "registration ended after a restore")
		case c.deleted && t == upstreams:
			if ctl.book.Remove(now, stoatpaddle.UpstreamID(c.name), c.revision) {
				ctl.noteStanding(stoatpaddle.UpstreamID(c.name), "registration ended")
			}
		case c.registration != nil:
			ctl.register(now, c, source)
		}
	}
}

// updateFormer takes in what was kept of the routes of a configuration that is new, and has those that lost a
// service kept. Seeds keep it, since they read the platform in any case.
func (ctl *controller) updateFormer(now time.Time) {
	ctl.book.RecallFormer(now, ctl.former)
	former, news := ctl.book.Former(now)
	if news && !ctl.follower.mayRely {
		ctl.emit(saveFormer{version: ctl.book.Declaration().Version, former: former})
	}
}

// lapse takes in that a registration ended which may come back.
func (ctl *controller) lapse(now time.Time, c *change, why string) {
	if ctl.book.Lapse(now, stoatpaddle.UpstreamID(c.name), c.revision) {
		ctl.noteStanding(stoatpaddle.UpstreamID(c.name), why)
	}
}

// logRejected says once that a later version was read and put aside.
func (ctl *controller) logRejected(c *change, source string) {
	t := ctl.book.Table()
	if c.declaration.Version <= t.Declaration.Version || c.declaration.Version == ctl.rejected {
		return
	}
	ctl.rejected = c.declaration.Version
	ctl.log(EventNotTaken, stoatevent.F("version", c.declaration.Version.String()), stoatevent.F("revision", c.revision.String()),
		stoatevent.F("inforce", t.Declaration.Version.String()), stoatevent.F("known", t.Revision.String()), stoatevent.F("source", source))
}

// evacuate takes in what operators want of a data centre.
func (ctl *controller) evacuate(e stoatpaddle.Evacuation, source string) {
	if ctl.book.Evacuate(e) {
		ctl.logEvacuation(e, source)
	}
}

func (ctl *controller) logEvacuation(e stoatpaddle.Evacuation, source string) {
	entry := EventEvacuated
	if e.Withdrawn {
		entry = EventTakenBack
	}
	ctl.log(entry, stoatevent.F("centre", string(e.DataCentre)), stoatevent.F("revision", e.Revision.String()), stoatevent.F("source", source))
}

// register takes in what an upstream says about itself.
func (ctl *controller) register(now time.Time, c *change, source string) {
	before, _ := ctl.book.Registered(c.registration.ID)
	switch outcome := ctl.book.Register(now, *c.registration, c.revision); outcome {
	case stoatroute.Unchanged:
	case stoatroute.Changed:
		ctl.noteUpdate(c.registration.ID, source)
	case stoatroute.Restarted, stoatroute.Outdated, stoatroute.Contradicted:
		ctl.log(EventLife, stoatevent.F("upstream", string(c.registration.ID)), stoatevent.F("outcome", outcome.String()),
			stoatevent.F("known", incarnationText(&before.Registration)), stoatevent.F("read", incarnationText(c.registration)), stoatevent.F("revision", c.revision.String()))
		if outcome != stoatroute.Outdated {
			ctl.noteStanding(c.registration.ID, outcome.String())
		}
	}
}

// noteUpdate logs an upstream that is new, or whose standing is. Before the entry is ready there
// would be a line for each that there is; SP1402 names them in one.
func (ctl *controller) noteUpdate(id stoatpaddle.UpstreamID, why string) {
	if ctl.ready {
		ctl.noteStanding(id, why)
	}
	ctl.logClash(id)
}

// incarnationText tells a registration's incarnation, and what an upstream keeps for all of it.
func incarnationText(r *stoatpaddle.Registration) string {
	return strconv.FormatUint(uint64(r.Incarnation), 10) + " " + string(r.Service) + " " + r.Addr.String()
}

// maxStandingLines is how many upstreams have a line of their own at one moment.
//
// The load: the store was away, and 150 of 293 registrations lapse at once, at each of 195 entries:
// 30,559 lines in 27 s. At 43,000 upstreams one outage would be as many lines an entry.
const maxStandingLines = 8

// standingChange is what an upstream's standing came to be, and why.
type standingChange struct {
	id       stoatpaddle.UpstreamID
	standing stoatroute.Standing
	why      string
}

// noteStanding notes that an upstream's noteStanding changed, for the log.
func (ctl *controller) noteStanding(id stoatpaddle.UpstreamID, why string) {
	u, _ := ctl.book.Registered(id)
	ctl.changes = append(ctl.changes, standingChange{id: id, standing: u.Standing, why: why})
}

// logStandings writes what changed in this step: a line for each of a few, and one for each standing
// and cause where there are many.
func (ctl *controller) logStandings() {
	list := ctl.changes
	ctl.changes = nil
	if len(list) <= maxStandingLines {
		for i := range list {
			ctl.logStanding(&list[i])
		}
		return
	}
	type kind struct {
		standing stoatroute.Standing
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
		ctl.log(EventUpstreams, stoatevent.F("standing", c.standing.String()), stoatevent.F("why", c.why),
			stoatevent.F("count", countText(len(names[c]))), stoatevent.F("names", joinNames(names[c])))
	}
}

func (ctl *controller) logStanding(c *standingChange) {
	u, _ := ctl.book.Registered(c.id)
	ctl.log(EventUpstream, stoatevent.F("upstream", string(c.id)), stoatevent.F("service", string(u.Service)),
		stoatevent.F("centre", string(u.DataCentre)), stoatevent.F("addr", u.Addr.String()),
		stoatevent.F("standing", c.standing.String()), stoatevent.F("why", c.why))
}

// logClash reports an upstream that cannot get flows because another has its cookie.
func (ctl *controller) logClash(id stoatpaddle.UpstreamID) {
	if other, ok := ctl.book.Clash(id); ok {
		ctl.log(EventClash, stoatevent.F("upstream", string(id)), stoatevent.F("holder", string(other)))
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

func countText(n int) string { return strconv.Itoa(n) }
