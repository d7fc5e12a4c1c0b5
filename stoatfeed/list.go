package stoatfeed

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// listProgress is what the pages of a list so far have in common. Each page is an answer of its own, and those of
// replicas may be older than the pages before them.
type listProgress struct {
	pos   stoatpaddle.Position // of the oldest page
	since time.Time            // when the first page was requested
	stale bool                 // a replica answered a page
}

// add adds a page that was requested at sent.
func (l *listProgress) add(sent time.Time, c Call, r Result) {
	if c.After == "" {
		*l = listProgress{pos: r.AsOf, since: sent}
	}
	if r.AsOf.Before(l.pos) {
		l.pos = r.AsOf
	}
	l.stale = l.stale || c.AllowStale
}

// recordPage records one page of a list.
func (f *Feed) recordPage(sent time.Time, d Decision, c Call, r Result) Decision {
	if r.AsOf.Era < f.era {
		// The page comes from a replica that does not know of the restore yet.
		f.relist()
		f.exact, d.Outdated = true, true
		return d
	}
	if r.AsOf.Before(f.read) {
		// The page comes from a replica that is behind the answers before. What changed in between is in no watch that
		// starts there if the platform has forgotten it, so the page is read again.
		f.exact, d.Outdated = true, true
		return d
	}
	d.Apply = true
	f.list.add(sent, c, r)
	if r.More {
		f.after = r.Last
		return d
	}
	// A watch from the revision of the oldest page reports what changed since then, in this page and in the others.
	d.Complete, d.Current, d.AfterOutage = true, !f.list.stale, f.afterOutage
	d.Position, d.AsOf = f.list.pos, f.list.since
	f.advanceRead(f.list.pos)
	f.listed, f.started, f.after, f.afterOutage, f.exact = true, true, "", false, f.exact && f.list.stale
	return d
}

// relist makes the next call start a new list.
func (f *Feed) relist() { f.listed, f.after, f.list = false, "", listProgress{} }

// RequestList makes the next call start a list, which goes to the platform itself. It is called when another entry
// contradicts what the answers before showed: a watch from there shows neither.
func (f *Feed) RequestList() {
	if f.listed {
		f.relist()
	}
	f.exact = true
}
