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

// part returns the part of the state that the topic's objects make up.
func (t topic) part() stoatroute.Parts {
	return [...]stoatroute.Parts{stoatroute.PartRoutes, stoatroute.PartUpstreams, stoatroute.PartEvacuations}[t]
}

// change is one decoded object of an answer.
type change struct {
	revision     stoatpaddle.Version
	name         string
	deleted      bool
	declaration  *stoatpaddle.Declaration
	registration *stoatpaddle.Registration
	evacuation   *stoatpaddle.Evacuation
	fault        error                // why the object cannot be used
	target       stoatpaddle.TargetID // the target in the name of an object that cannot be used; 0: none
}

// The events of the controller.
type (
	// started is the first event.
	started struct{}
	// ticked comes every tickInterval.
	ticked struct{}
	// callEnded reports the end of a call.
	callEnded struct {
		topic   topic
		call    stoatfeed.Call
		sent    time.Time
		result  stoatfeed.Result
		changes []change
		cause   error
	}
	// parentUpdate is a message of the parent. Age is how long ago the parent's state was known to be current
	// (negative: never), known is the position up to which the parent knows everything, and leads says how far it is
	// ahead of that with each topic. With whole,
	// upstreams has all there are, otherwise those that changed. The revisions in the message belong to era;
	// 0: it is not given.
	parentUpdate struct {
		searchID    int
		parent      string
		path        []netip.AddrPort // from an entry that reads the platform to the parent
		known       stoatpaddle.Position
		leads       []uint64
		era         stoatpaddle.Era
		age         time.Duration
		whole       bool
		delta       *stoatrelay.Delta // of the configuration, if it changed
		upstreams   []stoatroute.RemoteUpstream
		unreadable  []stoatrelay.UnreadableUpstream
		skipped     int // upstreams and evacuations of which nothing could be read
		evacuations []stoatpaddle.Evacuation
	}
	// parentLost reports a search that found no parent, or the end of a parent's updates.
	parentLost struct {
		searchID int
		cause    error
	}
	// resumed reports that the process did not run for the time in gap.
	resumed struct{ gap time.Duration }
	// verificationRequested asks for a read of parts of the state, on which the answers to packets depend.
	// Waiting is the number of packets that are held until then.
	verificationRequested struct {
		parts   stoatroute.Parts
		waiting int
	}
	// formerLoaded carries the former services of routes, as saved at the platform.
	formerLoaded struct{ former []stoatroute.FormerService }
	// settingsChanged carries changed settings.
	settingsChanged struct {
		maxDelay, gracePeriod, flowLifetime time.Duration
		seeds                               seedRole
	}
)

// The effects of the controller.
type (
	// startCall makes a call, which ends with callEnded.
	startCall struct {
		topic topic
		call  stoatfeed.Call
	}
	// cancelCall cancels the call in progress of a topic, which ends with callEnded.
	cancelCall struct{ topic topic }
	// findParent searches for a parent and receives its updates, which ends with parentLost. The parent's
	// state may be as old as maxAge; 0: any age will do.
	findParent struct {
		searchID int
		known    stoatpaddle.Position
		maxAge   time.Duration
	}
	// leaveParent ends a search, or the updates of the parent that it found.
	leaveParent struct {
		searchID int
		why      string
	}
	// announcement says which state children may rely on.
	announcement struct {
		known stoatpaddle.Position // up to it everything is known
		leads []uint64             // how far each topic is known beyond that; nil: no further
		path  []netip.AddrPort     // from an entry that reads the platform to the parent
		reads bool                 // this entry reads the platform, which answers
		asOf  time.Time            // when the state was last known to be current; zero: never
	}
	// updatedAnnouncement replaces the announcement without waking children: its leads have changed, which only
	// matter together with something else.
	updatedAnnouncement struct{ announcement }
	// wakeChildren wakes the children's connections, since there is something to send.
	wakeChildren struct{}
	// loadFormer loads the former services of routes, which ends with formerLoaded, or with no event.
	loadFormer struct{}
	// saveFormer saves the former services of routes at the platform, as of a version of the configuration.
	saveFormer struct {
		version stoatpaddle.Version
		former  []stoatroute.FormerService
	}
	// platformStatus reports whether the platform answers, and whether this entry watches it: it has had an exact answer
	// about the configuration, and makes further calls.
	platformStatus struct{ answers, watches bool }
	// publishTable makes a table the one that traffic uses.
	publishTable struct{ table *stoatroute.Table }
	// logEvent logs a numbered event.
	logEvent struct {
		definition *stoatevent.Definition
		fields     []stoatevent.Field
	}
)

func (s *announcement) same(o *announcement) bool {
	return s.known == o.known && s.reads == o.reads && s.asOf.Equal(o.asOf) && slices.Equal(s.path, o.path)
}

// position returns the position up to which the parent knows everything about a topic. An entry of an earlier release
// sends only the least of these positions.
func (x *parentUpdate) position(t topic) stoatpaddle.Position {
	pos := x.known
	if int(t) < len(x.leads) {
		pos.Revision += stoatpaddle.Version(x.leads[t])
	}
	return pos
}
