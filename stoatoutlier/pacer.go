package stoatoutlier

import "time"

const (
	// turnGap is the least time between two turns of an entry: what changes meanwhile goes into one
	// message. Up and down four levels of the tree it adds up to a fifth of a second at most.
	turnGap = 20 * time.Millisecond
	// turnBurst and turnRate bound the turns, and with them what an entry sends for it: a failure
	// is known everywhere within the first of them, and links that lose packets for minutes make
	// turnRate messages of 160 bytes a second on each link, 1 KB.
	turnBurst = 60
	turnRate  = 6.0
)

// Pacer spaces the turns of one entry. Its zero value is ready.
type Pacer struct {
	spent float64 // of the burst
	at    time.Time
}

// RecordRound notes a turn, and returns how long to wait for the next one.
func (p *Pacer) RecordRound(now time.Time) time.Duration {
	if !p.at.IsZero() {
		p.spent = max(0, p.spent-turnRate*now.Sub(p.at).Seconds())
	}
	p.spent, p.at = p.spent+1, now
	if p.spent <= turnBurst {
		return turnGap
	}
	return time.Duration((p.spent - turnBurst) / turnRate * float64(time.Second))
}
