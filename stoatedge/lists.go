package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// pages are what the pages of the list under way hold.
type pages struct {
	names    map[string]bool
	nameless bool // an object in them has a name that cannot be read
}

// complete compares a finished list with what was known.
func (k *keeper) complete(now time.Time, x ended, v stoatfeed.Verdict) {
	if x.topic == declarations || !x.call.List {
		return
	}
	p := &k.pages[x.topic]
	if x.call.After == "" || p.names == nil {
		*p = pages{names: map[string]bool{}}
	}
	for _, c := range x.changes {
		p.names[c.name] = true
		p.nameless = p.nameless || c.name == ""
	}
	if !v.Complete {
		return
	}
	if x.topic == upstreams {
		k.listedUpstreams(now, p, v)
	} else {
		k.listedEvacuations(p)
	}
	*p = pages{}
}

func (k *keeper) listedUpstreams(now time.Time, p *pages, v stoatfeed.Verdict) {
	names := make(map[stoatpaddle.UpstreamID]bool, len(p.names))
	for name := range p.names {
		names[stoatpaddle.UpstreamID(name)] = true
	}
	// What the list lacks may be the object without a name: it is given time to come back.
	for _, id := range k.book.Listed(now, names, v.Away || k.unwatched || p.nameless) {
		k.standing(id, "not in the list")
	}
}

func (k *keeper) listedEvacuations(p *pages) {
	names := make(map[stoatpaddle.DataCentreID]bool, len(p.names))
	for name := range p.names {
		names[stoatpaddle.DataCentreID(name)] = true
	}
	if p.nameless {
		// What the list seems to lack may be the object without a name: nothing is withdrawn for it.
		for _, ev := range k.book.Table().EvacuationsSince(0) {
			names[ev.DataCentre] = true
		}
	}
	// The list is as of the revision of its first page, which the feed knows now.
	for _, d := range k.book.EvacuationsListed(names, k.feeds[evacuations].Revision()) {
		k.logEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: k.feeds[evacuations].Revision(), Withdrawn: true}, "not in the list")
	}
}
