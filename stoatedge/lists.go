package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// pages are what the pages of the list under way hold.
type pages[ID ~string] struct {
	names    map[ID]bool
	unnamed bool // an object in them has a name that cannot be read
}

// add takes in a page.
func (p *pages[ID]) add(x callEnded) {
	if x.call.After == "" || p.names == nil {
		*p = pages[ID]{names: map[ID]bool{}}
	}
	for _, c := range x.changes {
		p.names[ID(c.name)] = true
		p.unnamed = p.unnamed || c.name == ""
	}
}

// countPage counts the pages of the list under way.
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

// compareList compares a finished list with what was known.
func (ctl *controller) compareList(now time.Time, x callEnded, v stoatfeed.Verdict) {
	if !x.call.List {
		return
	}
	switch x.topic {
	case upstreams:
		ctl.upstreamPages.add(x)
		if v.Complete {
			ctl.finishUpstreamList(now, v)
		}
	case evacuations:
		ctl.evacuationPages.add(x)
		if v.Complete {
			ctl.finishEvacuationList(now)
		}
	}
}

func (ctl *controller) finishUpstreamList(now time.Time, v stoatfeed.Verdict) {
	p := ctl.upstreamPages
	ctl.upstreamPages = pages[stoatpaddle.UpstreamID]{}
	// What the list lacks may be the object without a name: it is given time to come back.
	for _, id := range ctl.book.Listed(now, p.names, v.Away || ctl.unwatched || p.unnamed) {
		ctl.noteStanding(id, "not in the list")
	}
}

func (ctl *controller) finishEvacuationList(now time.Time) {
	p := ctl.evacuationPages
	ctl.evacuationPages = pages[stoatpaddle.DataCentreID]{}
	if p.unnamed {
		// What the list seems to lack may be the object without a name: nothing is withdrawn for it.
		for _, ev := range ctl.book.Table().EvacuationsSince(0) {
			p.names[ev.DataCentre] = true
		}
	}
	// The list is as of the revision of its first page, which the feed knows now.
	asOf := ctl.feeds[evacuations].Position().Revision
	ctl.logWithdrawn(ctl.book.EvacuationsListed(now, p.names, asOf), asOf, "not in the list")
}

// expireEvacuations ends those that were not written again after a restore.
func (ctl *controller) expireEvacuations(now time.Time) {
	if !ctl.failing().IsZero() {
		ctl.book.HoldEvacuations(now)
		return
	}
	asOf := ctl.feeds[evacuations].Position().Revision
	ctl.logWithdrawn(ctl.book.ExpireEvacuations(now, asOf), asOf, "not written again after a restore")
}

func (ctl *controller) logWithdrawn(list []stoatpaddle.DataCentreID, asOf stoatpaddle.Version, why string) {
	for _, d := range list {
		ctl.logEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: asOf, Withdrawn: true}, why)
	}
}
