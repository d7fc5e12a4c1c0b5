package stoatroute

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// RemoteUpstream is an upstream as another entry believes it to be.
type RemoteUpstream struct {
	stoatpaddle.Registration
	Revision stoatpaddle.Version // of its registration
	Standing Standing
}

// RemoteUpdate is what another entry says at once.
type RemoteUpdate struct {
	Upstreams []RemoteUpstream
	// Whole says that these are all there are.
	Whole bool
	// Later says that it knows all that this entry knows. What is not later counts only
	// where it names a later registration.
	Later bool
}

// Mirror takes in what another entry believes, and returns the upstreams whose standing is
// news here.
//
// An upstream that a whole telling lacks is missing, not gone: an entry that started just
// after the platform returned never heard of a registration that lapsed, and the upstream is
// about to register again. One that is told to be missing stays so until more is told, since
// only the entry that asks the platform knows when it returned.
func (b *Book) Mirror(now time.Time, x RemoteUpdate) []stoatpaddle.UpstreamID {
	var news []stoatpaddle.UpstreamID
	named := make(map[stoatpaddle.UpstreamID]bool, len(x.Upstreams))
	for i := range x.Upstreams {
		u := &x.Upstreams[i]
		named[u.ID] = true
		if b.mirror(now, u, x.Later) {
			news = append(news, u.ID)
		}
	}
	if !x.Whole {
		return news
	}
	if !b.listed && b.declared {
		b.listed, b.dirty = true, true
	}
	if !b.evacuationsKnown && b.declared {
		b.evacuationsKnown, b.dirty = true, true
	}
	if !x.Later {
		return news
	}
	for id, e := range b.ups {
		if !named[id] && e.up.Standing < Missing {
			b.miss(now, e)
			news = append(news, id)
		}
	}
	return news
}

func (b *Book) mirror(now time.Time, x *RemoteUpstream, later bool) bool {
	e := b.ups[x.ID]
	if e != nil && (x.Revision < e.up.Revision || x.Revision == e.up.Revision && (!later || x.Standing == e.up.Standing)) {
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
	case LifeOf(&e.up.Registration).compare(LifeOf(&x.Registration)) == laterLife:
		e.renew(now, &x.Registration)
		fresh = true
	case x.Revision > e.up.Revision:
		e.cooled(now, x.Cold)
	}
	was, standing := e.up.Standing, x.Standing
	u := e.edit()
	u.Registration, u.Revision = b.names.shared(b.leaving(now, e, x.Registration)), x.Revision
	if standing == Serving {
		standing = standingOf(&e.up.Registration)
	}
	u.Standing = standing
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
