package stoatoutlier

import "time"

const (
	// roundGap is the minimum time between two rounds of an entry. Changes in between go into one message.
	// Up and down four levels of the tree, the gaps add up to a fifth of a second at most.
	roundGap = 20 * time.Millisecond
	// roundBurst and roundRate (rounds a second) limit the rounds, and with them the messages that an entry
	// sends. A failure is known everywhere within the first few rounds. Links that lose packets for minutes
	// cause roundRate messages of 160 bytes a second on each link, which is 1 KB.
	roundBurst = 60
	roundRate  = 6.0
)

// Pacer limits the rate of an entry's rounds. In a round, the entry acts on the reports and sends its own. The
// zero value is ready to use.
type Pacer struct {
	spent float64   // rounds taken out of the burst
	last  time.Time // time of the last round
}

// RecordRound records a round, and returns how long to wait for the next one.
func (p *Pacer) RecordRound(now time.Time) time.Duration {
	if !p.last.IsZero() {
		p.spent = max(0, p.spent-roundRate*now.Sub(p.last).Seconds())
	}
	p.spent, p.last = p.spent+1, now
	if p.spent <= roundBurst {
		return roundGap
	}
	return time.Duration((p.spent - roundBurst) / roundRate * float64(time.Second))
}
