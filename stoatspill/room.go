package stoatspill

import (
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

const (
	// MaxRoomAge is the age from which a room no longer counts: two of three reports of a second may be lost.
	MaxRoomAge = 3 * time.Second
	// usableShare is the share of the slots that spilled openings may fill. Entries choose upstreams with little
	// knowledge of each other, so that beyond it some queues are full while other slots are idle.
	usableShare = 0.8
	// The room shrinks linearly from the first rejected share to the second, where none is left: the one at which a
	// data centre starts to spill.
	roomRejectedShare, fullRejectedShare = 0.005, defaultStart
	// The room shrinks linearly as the mean answer takes longer than without a queue, from the first factor to the
	// second. Where usableShare of the slots is busy and openings come at random, requests wait for about as long as
	// they are worked on.
	roomQueueFactor, fullQueueFactor = 1.75, 2.5
	// trialShare is the share of the slots that trials may fill. When demand moves, a data centre loses callers at the
	// moment at which another one is overloaded, and the room published before does not show it. Where it does not
	// move, queues take what is too much until the next room arrives.
	trialShare = 0.4
	// maxOverheadShare bounds the part of an answer time that is taken for the network, so that a wrong round trip
	// cannot multiply the room.
	maxOverheadShare = 0.75
	// unknownHold is how long an opening is assumed to occupy a slot in a data centre without recent answers.
	unknownHold = time.Second
	// awayShare is the share of a data centre's openings that may go elsewhere without its counting as spilling,
	// as happens when single upstreams are lost.
	awayShare = 0.02
)

// Room is what the upstreams of a service in one data centre can take from another data centre.
type Room struct {
	DataCentre stoatpaddle.DataCentreID
	Service    stoatpaddle.ServiceID
	PerSecond  float64   // openings a second, for each data centre that may spill there
	Trial      float64   // the same for a data centre that has just been overloaded and awaits a newer room
	Spilling   bool      // the data centre spills itself, so that it has no room
	At         time.Time // when the load was measured
}

// Capacity is what a data centre's room depends on besides its load.
type Capacity struct {
	Slots    int  // of the upstreams that accept flows
	Spillers int  // data centres that may spill there, each of which gets an equal part; at least 1
	Spilling bool // the data centre spills itself
	// RoundTrip is the part of an answer time in which no slot is occupied: the round trip to the caller, and the
	// delay of acknowledgements where it is known. 0 makes the room smaller than it is.
	RoundTrip time.Duration
}

// RoomOf returns the room of the group whose load this is, as of the given time. The load is that of the data
// centre's own callers.
func RoomOf(at time.Time, load stoatload.GroupLoad, c Capacity) Room {
	room := Room{DataCentre: load.Group.DataCentre, Service: load.Group.Service, Spilling: c.Spilling, At: at}
	if c.Spilling || c.Slots <= 0 {
		return room
	}
	hold, overhead := holdTimes(load.Unqueued, c.RoundTrip)
	busy := max(load.InProgress-load.Answered*overhead, load.Answered*hold)
	free := max(0, usableShare*float64(c.Slots)-busy)
	perSlot := openingsPerRequest(&load) / hold / float64(max(1, c.Spillers))
	if math.IsNaN(perSlot) || math.IsNaN(free) {
		return room
	}
	room.PerSecond = free * perSlot * withoutRejections(&load) * withoutQueue(&load)
	if load.RejectedShare() < fullRejectedShare {
		room.Trial = trialShare * float64(c.Slots) * perSlot
	}
	return room
}

// holdTimes returns how long a request occupies a slot, and how much longer it seems in progress, in seconds.
func holdTimes(unqueued, roundTrip time.Duration) (hold, overhead float64) {
	if unqueued <= 0 {
		return unknownHold.Seconds(), 0
	}
	overhead = min(max(0, roundTrip.Seconds()), maxOverheadShare*unqueued.Seconds())
	return unqueued.Seconds() - overhead, overhead
}

// openingsPerRequest returns how many openings come with a request, at most 1: an opening of a long flow brings many
// requests.
func openingsPerRequest(load *stoatload.GroupLoad) float64 {
	_, admitted := openings(load)
	if admitted <= 0 || load.Answered <= 0 {
		return 1
	}
	return min(1, admitted/load.Answered)
}

// withoutRejections returns the factor by which rejections reduce the room.
func withoutRejections(load *stoatload.GroupLoad) float64 {
	return falling(load.RejectedShare(), roomRejectedShare, fullRejectedShare)
}

// withoutQueue returns the factor by which queues reduce the room.
func withoutQueue(load *stoatload.GroupLoad) float64 {
	if load.Unqueued <= 0 {
		return 1
	}
	return falling(float64(load.AnswerTime)/float64(load.Unqueued), roomQueueFactor, fullQueueFactor)
}

// falling returns 1 up to from, 0 at to and above, and a linear course between them.
func falling(x, from, to float64) float64 { return min(1, max(0, (to-x)/(to-from))) }

// openings returns the openings a second of all levels.
func openings(load *stoatload.GroupLoad) (arrived, admitted float64) {
	for _, l := range load.Levels {
		arrived += l.Arrived
		admitted += l.Admitted
	}
	return arrived, admitted
}

// Away reports whether the data centre's entries send openings of the service to other data centres: they have both
// admitted some and wait for some there, or report that they spill some. The rate alone would tell long after a spill
// of short flows has ended, and the requests in progress long after one of long flows.
func Away(c *stoatload.CentreLoad, s stoatpaddle.ServiceID) bool {
	var home, away, homeProgress, awayProgress, spilled float64
	for i := range c.Groups {
		g := &c.Groups[i]
		if g.Group.Service != s {
			continue
		}
		arrived, admitted := openings(g)
		if g.Group.DataCentre == c.DataCentre {
			home, homeProgress, spilled = home+arrived, homeProgress+g.InProgress, spilled+g.Spilled
			continue
		}
		away, awayProgress = away+admitted, awayProgress+g.InProgress
	}
	return spilled > awayShare*home || away > awayShare*home && awayProgress > awayShare*homeProgress
}

// RoomsOf returns the rooms for the service in the data centres whose loads are given, for the data centre own. The
// capacity gives the slots of each data centre and its round trip; Spillers is set here: the data centres that may
// spill are own and those that spill, reject requests or refuse openings.
func RoomsOf(own stoatpaddle.DataCentreID, s stoatpaddle.ServiceID, loads []stoatload.CentreLoad, capacity func(stoatpaddle.DataCentreID) Capacity) []Room {
	var rooms []Room
	spillers := 1
	for i := range loads {
		c := &loads[i]
		if c.DataCentre == own {
			continue
		}
		r := roomIn(c, s, capacity(c.DataCentre))
		if r.Spilling || inNeed(homeLoad(c, s), r.PerSecond) {
			spillers++
		}
		rooms = append(rooms, r)
	}
	for i := range rooms {
		rooms[i].PerSecond /= float64(spillers)
		rooms[i].Trial /= float64(spillers)
	}
	return rooms
}

// homeLoad returns the load of the service's group in the data centre itself.
func homeLoad(c *stoatload.CentreLoad, s stoatpaddle.ServiceID) stoatload.GroupLoad {
	load := stoatload.GroupLoad{Group: stoatload.GroupID{Service: s, DataCentre: c.DataCentre}}
	for i := range c.Groups {
		if c.Groups[i].Group == load.Group {
			return c.Groups[i]
		}
	}
	return load
}

// inNeed reports whether the data centre may soon spill: its upstreams reject requests, or its entries refuse openings
// although it has no room.
func inNeed(load stoatload.GroupLoad, room float64) bool {
	arrived, admitted := openings(&load)
	return load.RejectedShare() >= fullRejectedShare || arrived-admitted > room+fullRejectedShare*arrived
}

// roomIn returns the undivided room for the service in a data centre.
func roomIn(c *stoatload.CentreLoad, s stoatpaddle.ServiceID, capacity Capacity) Room {
	load := homeLoad(c, s)
	capacity.Spillers, capacity.Spilling = 1, capacity.Spilling || Away(c, s)
	return RoomOf(c.At, load, capacity)
}
