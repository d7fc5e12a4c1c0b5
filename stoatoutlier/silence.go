package stoatoutlier

import "time"

// Silence describes entries that wait for an upstream without an answer. Each of them has a packet
// outstanding there for longer than an answer usually takes, and no sign of life from the upstream since.
//
// A single entry may have lost a packet, or its own network may be failing. Two entries that wait
// independently of each other, while no entry of the data centre heard from the upstream, are evidence
// against it.
type Silence struct {
	WaitingEntries  int       // number of entries that wait
	FirstWaitSince  time.Time // start of the earliest wait; zero: no entry waits
	SecondWaitSince time.Time // start of the second wait; zero: at most one entry waits
	LastHeard       time.Time // last sign of life at any entry; zero: none recently
}

// Add merges two observations of the same upstream by different entries.
func (s Silence) Add(o Silence) Silence {
	out := Silence{WaitingEntries: s.WaitingEntries + o.WaitingEntries, FirstWaitSince: s.FirstWaitSince, SecondWaitSince: s.SecondWaitSince, LastHeard: s.LastHeard}
	for _, t := range []time.Time{o.FirstWaitSince, o.SecondWaitSince} {
		switch {
		case t.IsZero():
		case out.FirstWaitSince.IsZero() || t.Before(out.FirstWaitSince):
			out.FirstWaitSince, out.SecondWaitSince = t, out.FirstWaitSince
		case out.SecondWaitSince.IsZero() || t.Before(out.SecondWaitSince):
			out.SecondWaitSince = t
		}
	}
	if o.LastHeard.After(out.LastHeard) {
		out.LastHeard = o.LastHeard
	}
	return out
}

// Ended reports whether the upstream gave a sign of life after the first entry began to wait. Packets that
// were sent before that sign are no evidence any more.
func (s Silence) Ended() bool {
	return !s.FirstWaitSince.IsZero() && !s.LastHeard.Before(s.FirstWaitSince)
}

// LongestWait returns for how long an entry has been waiting; 0: none waits.
func (s Silence) LongestWait(now time.Time) time.Duration {
	if s.WaitingEntries == 0 || s.FirstWaitSince.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.FirstWaitSince)
}

// SharedWait returns for how long at least two entries have been waiting; 0: fewer than two wait.
func (s Silence) SharedWait(now time.Time) time.Duration {
	if s.WaitingEntries < 2 || s.SecondWaitSince.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.SecondWaitSince)
}
