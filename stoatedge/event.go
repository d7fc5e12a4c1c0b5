package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// topic is one kind of object that an entry follows.
type topic int

// The topics.
const (
	declarations topic = iota
	upstreams
	topicCount
)

func (t topic) String() string { return [...]string{"configuration", "upstreams"}[t] }

// change is one object that an answer brought, decoded.
type change struct {
	revision     stoatpaddle.Version
	name         string
	gone         bool
	declaration  *stoatpaddle.Declaration
	registration *stoatpaddle.Registration
	fault        error // why it cannot be used
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
	// told carries what a neighbour has in force; age is how long ago that was proven, known
	// the revision up to which it knows everything.
	told struct {
		known   stoatpaddle.Version
		from    string
		changes []change
		age     time.Duration
		cause   error
	}
	// doubted tells that traffic met a cookie which is not known here.
	doubted struct{}
	// rebound carries changed bounds.
	rebound struct {
		apply, back, life time.Duration
		follow            bool // there are seeds, and this entry is none of them
	}
	// shown carries a seed's proof; age is how long ago its question was sent.
	shown struct {
		from  string
		rev   stoatpaddle.Version
		age   time.Duration
		cause error
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
	// askNeighbours asks other entries what is in force; each answer ends in told.
	// One that knows everything up to a revision is told only what is later; 0: it has
	// nothing to serve by. turn says whose turn it is.
	askNeighbours struct {
		known stoatpaddle.Version
		turn  int
	}
	// knows says up to which revision everything is known.
	knows struct{ rev stoatpaddle.Version }
	// askProof asks a seed for its next proof, or with wait unset for its last one; it ends
	// in shown. attempt counts failures in a row.
	askProof struct {
		wait    bool
		attempt int
	}
	// proved shows others what this entry proved.
	proved struct {
		rev  stoatpaddle.Version
		sent time.Time
	}
	// touched tells whether the platform answers.
	touched struct{ answers bool }
	// publish makes a table the one that traffic reads.
	publish struct{ table *stoatroute.Table }
	// logged writes a numbered event.
	logged struct {
		entry  *stoatevent.Entry
		fields []stoatevent.Field
	}
)
