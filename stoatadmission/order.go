package stoatadmission

import (
	"math"
	"net/netip"
	"time"

	"github.com/dchest/siphash"
)

const (
	// epoch is how long the openings of a caller keep their position: all tries of one request fall into it.
	epoch = time.Second
	// epochStep is the golden ratio's fraction: positions of successive epochs are spread as evenly as possible, so
	// that a caller meets each part of [0,1) after a bounded number of epochs.
	epochStep = 0.6180339887498949
	// callerTries is the number of tries that callers have for a request.
	callerTries = 3
	// guaranteedEpochs is the number of successive epochs within which each caller has a position below
	// guaranteedShare.
	guaranteedEpochs = 144
	// Addresses that send more than smallCaller of the openings stand for several callers. Their positions are partly
	// random, and entirely from largeCaller on. After few openings each address seems to be such a one.
	smallCaller = 1.0 / 32
	largeCaller = 1.0 / 8
)

// callerShare returns the share of the positions that is admitted so that the given share of the openings is; spread
// says how random the positions are. An admitted caller makes one opening and a refused one callerTries of them, unless
// each opening is a new draw. If callers make fewer tries, more is admitted, and the budget falls.
func callerShare(share, spread float64) float64 {
	byCaller := callerTries * share / (1 + (callerTries-1)*share)
	return byCaller + spread*(share-byCaller)
}

// position returns the position of an opening in [0,1), and how random it is: 0 is by its caller, 1 entirely random.
func (l *Limiter) position(now time.Time, o Opening) (x, spread float64) {
	if l.cfg.Order == AtRandom {
		return l.random().Float64(), 1
	}
	h := l.hash(o.Caller)
	if l.callers == nil {
		l.callers = &callerCounts{}
	}
	part := l.callers.add(now, h)
	x = callerPosition(now, h)
	if spread = max(0, min(1, (part-smallCaller)/(largeCaller-smallCaller))); spread > 0 {
		x += spread * l.random().Float64()
	}
	return x - math.Floor(x), spread
}

// hash returns the keyed hash of a caller's address.
func (l *Limiter) hash(a netip.Addr) uint64 {
	b := a.As16()
	return siphash.Hash(l.cfg.Key[0], l.cfg.Key[1], b[:])
}

// callerPosition returns the position of a caller in its present epoch. Epochs of callers begin at different times,
// so that callers do not all change places at once.
func callerPosition(now time.Time, h uint64) float64 {
	const half = 32
	offset := time.Duration(h>>half) * epoch >> half
	n := (now.UnixNano() + int64(offset)) / int64(epoch)
	x := float64(uint32(h))/(1<<half) + float64(n%(1<<20))*epochStep
	return x - math.Floor(x)
}

// callerCounts counts recent openings by a part of the hash of their caller. Callers with the same part count
// together, which makes their positions more random than necessary, and needs bounded memory.
type callerCounts struct {
	counts [256]float32
	total  float32
	halved time.Time
}

// add counts an opening and returns its caller's part of the recent openings.
func (c *callerCounts) add(now time.Time, h uint64) float64 {
	if now.Sub(c.halved) >= epoch {
		c.halved = now
		c.total /= 2
		for i := range c.counts {
			c.counts[i] /= 2
		}
	}
	const upperHalf = 32 // the position depends on the lower half
	i := uint8(h >> upperHalf)
	c.counts[i]++
	c.total++
	return float64(c.counts[i] / c.total)
}
