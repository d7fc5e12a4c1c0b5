package stoatroute

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// RemoteUpstream is an upstream as another entry believes it to be.
type RemoteUpstream struct {
	stoatpaddle.Registration
	Revision stoatpaddle.Version // of its registration
	State    State
}

// RemoteUpdate is what another entry says at once.
type RemoteUpdate struct {
	Upstreams []RemoteUpstream
	// Complete says that these are all there are.
	Complete bool
	// UpToDate says that it knows all that this entry knows. What is not later counts only
	// where it names a later registration.
	UpToDate bool
}

// Mirror takes in what another entry believes, and returns the upstreams whose standing is
// news here.
//
// An upstream that a whole telling lacks is missing, not gone: an entry that started just
// after the platform returned never heard of a registration that lapsed, and the upstream is
// about to register again. One that is told to be missing stays so until more is told, since
// only the entry that asks the platform knows when it returned.
func (b *Builder) Mirror(now time.Time, x RemoteUpdate) []stoatpaddle.UpstreamID {
	var news []stoatpaddle.UpstreamID
	named := make(map[stoatpaddle.UpstreamID]bool, len(x.Upstreams))
	for i := range x.Upstreams {
		u := &x.Upstreams[i]
		named[u.ID] = true
		if b.mirror(now, u, x.UpToDate) {
			news = append(news, u.ID)
		}
	}
	if !x.Complete {
		return news
	}
	if !b.listed && b.declared {
		b.listed, b.dirty = true, true
	}
	if !b.evacuationsKnown && b.declared {
		b.evacuationsKnown, b.dirty = true, true
	}
	if !x.UpToDate {
		return news
	}
	for id, e := range b.ups {
		if !named[id] && e.up.State < Missing {
			b.miss(now, e)
			news = append(news, id)
		}
	}
	return news
}

func (b *Builder) mirror(now time.Time, x *RemoteUpstream, later bool) bool {
	e := b.ups[x.ID]
	if e != nil && (x.Revision < e.up.Revision || x.Revision == e.up.Revision && (!later || x.State == e.up.State)) {
		return false
	}
	fresh := e == nil
	switch {
	case fresh:
		e = newEntry(now, &x.Registration)
		b.ups[x.ID] = e
	case x.Incarnation < e.up.Incarnation:
		// The parent has not heard of the later incarnation.
		return false
	case IdentityOf(&e.up.Registration).compare(IdentityOf(&x.Registration)) == laterLife:
		e.renew(now, &x.Registration)
		fresh = true
	case x.Revision > e.up.Revision:
		e.cooled(now, x.Cold)
	}
	was, standing := e.up.State, x.State
	u := e.edit()
	u.Registration, u.Revision = b.names.shared(b.leaving(now, e, x.Registration)), x.Revision
	if standing == Serving {
		standing = standingOf(&e.up.Registration)
	}
	u.State = standing
	switch standing {
	case Gone:
		b.end(now, e)
	case Missing:
		b.miss(now, e)
		e.held = true
	default:
		b.changed(e)
	}
	return fresh || was != standing
}
