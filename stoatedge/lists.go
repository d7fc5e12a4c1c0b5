package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// pages are what the pages of the list under way hold.
type pages[ID ~string] struct {
	names    map[ID]bool
	nameless bool // an object in them has a name that cannot be read
}

// add takes in a page.
func (p *pages[ID]) add(x ended) {
	if x.call.After == "" || p.names == nil {
		*p = pages[ID]{names: map[ID]bool{}}
	}
	for _, c := range x.changes {
		p.names[ID(c.name)] = true
		p.nameless = p.nameless || c.name == ""
	}
}

// countPage counts the pages of the list under way.
func (k *keeper) countPage(x *ended) {
	switch {
	case !x.call.List || !x.result.More:
		k.listPages[x.topic] = 0
	case x.call.After == "":
		k.listPages[x.topic] = 1
	default:
		k.listPages[x.topic]++
	}
}

// complete compares a finished list with what was known.
func (k *keeper) complete(now time.Time, x ended, v stoatfeed.Decision) {
	if !x.call.List {
		return
	}
	switch x.topic {
	case upstreams:
		k.upstreamPages.add(x)
		if v.Complete {
			k.listedUpstreams(now, v)
		}
	case evacuations:
		k.evacuationPages.add(x)
		if v.Complete {
			k.listedEvacuations(now)
		}
	}
}

func (k *keeper) listedUpstreams(now time.Time, v stoatfeed.Decision) {
	p := k.upstreamPages
	k.upstreamPages = pages[stoatpaddle.UpstreamID]{}
	// What the list lacks may be the object without a name: it is given time to come back.
	for _, id := range k.book.ApplyList(now, p.names, v.AfterOutage || k.unwatched || p.nameless) {
		k.standing(id, "not in the list")
	}
}

func (k *keeper) listedEvacuations(now time.Time) {
	p := k.evacuationPages
	k.evacuationPages = pages[stoatpaddle.DataCentreID]{}
	if p.nameless {
		// What the list seems to lack may be the object without a name: nothing is withdrawn for it.
		for _, ev := range k.book.Table().EvacuationsSince(0) {
			p.names[ev.DataCentre] = true
		}
	}
	// The list is as of the revision of its first page, which the feed knows now.
	asOf := k.feeds[evacuations].Position().Revision
	k.lifted(k.book.ApplyEvacuationList(now, p.names, asOf), asOf, "not in the list")
}

// expireEvacuations ends those that were not written again after a restore.
func (k *keeper) expireEvacuations(now time.Time) {
	if !k.failing().IsZero() {
		k.book.RestartEvacuationGracePeriod(now)
		return
	}
	asOf := k.feeds[evacuations].Position().Revision
	k.lifted(k.book.ExpireEvacuations(now, asOf), asOf, "not written again after a restore")
}

func (k *keeper) lifted(list []stoatpaddle.DataCentreID, asOf stoatpaddle.Version, why string) {
	for _, d := range list {
		k.logEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: asOf, Withdrawn: true}, why)
	}
}
