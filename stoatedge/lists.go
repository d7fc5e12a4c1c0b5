package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// pages collects the names in the pages of a list in progress.
type pages[ID ~string] struct {
	names   map[ID]bool
	unnamed bool // an object in the pages has a name that cannot be read
}

// add adds a page; the first page of a list starts a new collection.
func (p *pages[ID]) add(x callEnded) {
	if x.call.After == "" || p.names == nil {
		*p = pages[ID]{names: map[ID]bool{}}
	}
	for _, c := range x.changes {
		p.names[ID(c.name)] = true
		p.unnamed = p.unnamed || c.name == ""
	}
}

// countPage counts the pages of the list in progress.
func (ctl *controller) countPage(x *callEnded) {
	switch {
	case !x.call.List || !x.result.More:
		ctl.pagesRead[x.topic] = 0
	case x.call.After == "":
		ctl.pagesRead[x.topic] = 1
	default:
		ctl.pagesRead[x.topic]++
	}
}

// compareList collects the pages of a list, and compares the complete list with the known state.
func (ctl *controller) compareList(now time.Time, x callEnded, v stoatfeed.Decision) {
	if !x.call.List {
		return
	}
	switch x.topic {
	case upstreams:
		ctl.upstreamPages.add(x)
		if v.Complete {
			ctl.finishUpstreamList(now, v)
			ctl.settleContradiction(upstreams, v)
		}
	case evacuations:
		ctl.evacuationPages.add(x)
		if v.Complete {
			ctl.finishEvacuationList(now, v)
			ctl.settleContradiction(evacuations, v)
		}
	}
}

func (ctl *controller) finishUpstreamList(now time.Time, v stoatfeed.Decision) {
	p := ctl.upstreamPages
	ctl.upstreamPages = pages[stoatpaddle.UpstreamID]{}
	// An upstream that the list lacks may be the object whose name cannot be read: it gets time to return.
	for _, id := range ctl.state.ApplyList(now, p.names, v.Position.Revision, v.AfterOutage || ctl.unwatched || p.unnamed) {
		ctl.noteStanding(id, "missing from the list")
	}
}

func (ctl *controller) finishEvacuationList(now time.Time, v stoatfeed.Decision) {
	p := ctl.evacuationPages
	ctl.evacuationPages = pages[stoatpaddle.DataCentreID]{}
	if p.unnamed {
		// A data centre that the list lacks may be the object whose name cannot be read, so no evacuation is
		// withdrawn because of it.
		for _, ev := range ctl.state.Table().EvacuationsSince(0) {
			p.names[ev.DataCentre] = true
		}
	}
	asOf := v.Position.Revision
	ctl.logWithdrawn(ctl.state.ApplyEvacuationList(now, p.names, asOf), asOf, "missing from the list")
}

// applyEvacuations applies the evacuations in a parent's message. A parent that started after a withdrawal never learns of
// it. An evacuation that a parent lacks is kept, and the platform decides: a data centre that is about
// to lose power must not get flows on another entry's word.
func (ctl *controller) applyEvacuations(now time.Time, x *parentUpdate) {
	if x.whole || ctl.sentEvacuations == nil {
		ctl.sentEvacuations = map[stoatpaddle.DataCentreID]bool{}
	}
	contradicted := false
	read := ctl.feeds[evacuations].ReadPosition()
	for _, ev := range x.evacuations {
		ctl.sentEvacuations[ev.DataCentre] = true
		changed := ctl.evacuate(ev, x.parent)
		contradicted = contradicted || changed && !ev.Withdrawn && read.Era == ctl.state.Era() && ev.Revision <= read.Revision
	}
	pos := x.position(evacuations)
	if pos.Era != ctl.state.Era() {
		return
	}
	for _, ev := range ctl.state.Table().EvacuationsSince(0) {
		if x.skipped == 0 && !ev.Withdrawn && !ctl.sentEvacuations[ev.DataCentre] && ev.Revision <= pos.Revision {
			// One list decides: the parent may still lack it afterwards.
			contradicted, ctl.sentEvacuations[ev.DataCentre] = true, true
		}
	}
	if contradicted {
		ctl.contradict(now, evacuations, x)
	}
}

// contradict has a topic listed once the platform answers: another entry's state contradicts this one's, and a watch would
// not show which is right.
func (ctl *controller) contradict(now time.Time, t topic, x *parentUpdate) {
	ctl.log(EventContradicted, stoatevent.F("topic", t.String()), stoatevent.F("parent", x.parent), stoatevent.F("read", ctl.feeds[t].ReadPosition().String()), stoatevent.F("position", x.position(t).String()))
	ctl.contradictedAt[t] = now
	ctl.feeds[t].RequestList()
}

// settleContradiction takes a complete list for the decision about what was contradicted before it began, or requests
// another one.
func (ctl *controller) settleContradiction(t topic, v stoatfeed.Decision) {
	switch {
	case ctl.contradictedAt[t].IsZero():
	case !v.Current || v.AsOf.Before(ctl.contradictedAt[t]):
		ctl.feeds[t].RequestList()
	default:
		ctl.contradictedAt[t] = time.Time{}
	}
}

// listContradicted makes the call for a list that an entry with a parent needs, which makes no calls otherwise.
func (ctl *controller) listContradicted(now time.Time) {
	for _, t := range ctl.topics {
		if !ctl.contradictedAt[t].IsZero() && !ctl.reading && !ctl.pending[t] {
			ctl.feeds[t].RequestList()
			ctl.startCall(now, t)
		}
	}
}

// expireEvacuations withdraws evacuations that were not written again after a restore.
func (ctl *controller) expireEvacuations(now time.Time) {
	if !ctl.failingSince().IsZero() {
		ctl.state.RestartEvacuationGracePeriod(now)
		return
	}
	asOf := ctl.feeds[evacuations].ReadPosition().Revision
	ctl.logWithdrawn(ctl.state.ExpireEvacuations(now, asOf), asOf, "not written again after a restore")
}

func (ctl *controller) logWithdrawn(list []stoatpaddle.DataCentreID, asOf stoatpaddle.Version, why string) {
	for _, d := range list {
		ctl.logEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: asOf, Withdrawn: true}, why)
	}
}
