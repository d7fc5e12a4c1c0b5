package stoatload

import (
	"math"
	"time"
)

// The limits of what one message, and one entry's memory, may hold. A received message that exceeds one of them
// is rejected.
const (
	MaxGroups   = 64 // groups of one data centre
	MaxLevels   = 16 // priority levels of one group
	MaxCentres  = 16 // data centres
	MaxParts    = 32 // parts of all data centres; a data centre has a part for each of its topmost entries
	MaxChildren = 32 // children that report to one entry; the relay tree admits fewer

	// MaxMessageBytes limits an encoded message. MaxGroups groups with MaxLevels levels each and the longest names
	// fit; parts that don't are left out.
	MaxMessageBytes = 64 << 10
)

const (
	maxNameBytes = 255
	maxAddrBytes = 18 // IPv6 without a zone, and the port
	maxEntries   = 1 << 20
	maxFigure    = 1e7 // a rate in events a second, or a number of requests
	maxAnswer    = time.Minute
	maxAge       = time.Hour // long beyond LoadTTL
)

const (
	// LoadTTL is how long a received load counts. With a report each second, it outlives the loss of two.
	LoadTTL = 3 * time.Second
	// MaxSumAge is the age beyond which a data centre's sum is not used for decisions.
	MaxSumAge = time.Second
	// trafficFloor is the rate below which a group or a level counts as having no traffic, in events a second. The
	// rate of a single opening falls to it within three seconds.
	trafficFloor = 0.01
	// maxRejectedShare is the share of rejections above which a group is under pressure. Single rejections also
	// occur when openings meet at one upstream by chance.
	maxRejectedShare = 0.01
)

// bounded returns x limited to what may be sent; figures that are not numbers become 0.
func bounded(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return min(x, maxFigure)
}
