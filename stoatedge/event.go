package stoatedge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// topic is one kind of object that an entry follows.
type topic int

// The topics.
const (
	declarations topic = iota
	upstreams
	evacuations
	topicCount
)

func (t topic) String() string { return [...]string{"configuration", "upstreams", "evacuations"}[t] }

// change is one object that an answer brought, decoded.
type change struct {
	revision     stoatpaddle.Version
	name         string
	gone         bool
	declaration  *stoatpaddle.Declaration
	registration *stoatpaddle.Registration
	evacuation   *stoatpaddle.Evacuation
	fault        error                // why it cannot be used
	target       stoatpaddle.TargetID // that its name says, if it cannot be used; 0: none
}

// The events of the keeper.
type (
	// started is the first event.
	started struct{}
	// ticked comes every tickEvery.
	ticked struct{}
	// ended reports the end of a call.
	ended struct {
		topic   topic
		call    stoatfeed.Call
		sent    time.Time
		result  stoatfeed.Result
		changes []change
		cause   error
	}
	// update carries what the parent says; age is how long ago that was known to be up to
	// date (negative: never), known the position up to which it knows everything. With
	// whole, upstreams has all there are, otherwise what changed. Revisions of what it has
	// are of the era; 0: it does not say.
	update struct {
		serial      int
		from        string
		path        []netip.AddrPort // from a reader to the parent
		known       stoatpaddle.Position
		era         stoatpaddle.Era
		age         time.Duration
		whole       bool
		delta       *stoatrelay.Delta // of the declaration, if it changed
		upstreams   []stoatroute.RemoteUpstream
		evacuations []stoatpaddle.Evacuation
	}
	// parentLost reports the end of a search that found nobody, or of a parent's telling.
	parentLost struct {
		serial int
		cause  error
	}
	// resumed reports that the process stood still for so long.
	resumed struct{ gap time.Duration }
	// doubted tells that traffic met a cookie which is not known here.
	doubted struct{}
	// recalled carries which services routes had, as the platform keeps it.
	recalled struct{ former []stoatroute.FormerService }
	// rebound carries changed bounds.
	rebound struct {
		apply, back, life time.Duration
		seeds             naming
	}
)

// The effects of the keeper.
type (
	// ask does a call; it ends in ended.
	ask struct {
		topic topic
		call  stoatfeed.Call
	}
	// interrupt gives up the waiting call of a topic; it ends in ended.
	interrupt struct{ topic topic }
	// seek searches for a parent and listens to it; it ends in parted. Within bounds how old
	// the parent's word may be; 0: it does not matter.
	seek struct {
		serial int
		known  stoatpaddle.Position
		within time.Duration
	}
	// leave ends the listening of a search.
	leave struct {
		serial int
		why    string
	}
	// announcement says what others may rely on.
	announcement struct {
		known stoatpaddle.Position
		path  []netip.AddrPort
		reads bool
		asOf  time.Time
	}
	// changed wakes those who are told: there is something for them.
	changed struct{}
	// recall reads which services routes had; it ends in recalled, or in nothing.
	recall struct{}
	// remember keeps at the platform which services routes had, as of a version of the configuration.
	remember struct {
		version stoatpaddle.Version
		former  []stoatroute.FormerService
	}
	// touched tells whether the platform answers.
	touched struct{ answers bool }
	// publish makes a table the one that traffic reads.
	publish struct{ table *stoatroute.Table }
	// logged writes a numbered event.
	logged struct {
		entry  *stoatevent.Definition
		fields []stoatevent.Field
	}
)

func (s *announcement) same(o *announcement) bool {
	return s.known == o.known && s.reads == o.reads && s.asOf.Equal(o.asOf) && slices.Equal(s.path, o.path)
}
