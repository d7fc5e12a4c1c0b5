package stoatoutlier

import "time"

// Silence describes entries that wait for an upstream without an answer. Each of them has a packet
// outstanding there for longer than an answer usually takes, and no sign of life from the upstream since.
//
// A single entry may have lost a packet, or its own network may be failing. Two entries that wait
// independently of each other, while no entry of the data centre heard from the upstream, are evidence
// against it.
type Silence struct {
	Entries int       // number of entries that wait
	First   time.Time // start of the earliest wait; zero: no entry waits
	Second  time.Time // start of the second wait; zero: at most one entry waits
	Heard   time.Time // last sign of life at any entry; zero: none recently
}

// Add merges two observations of the same upstream by different entries.
func (s Silence) Add(o Silence) Silence {
	out := Silence{Entries: s.Entries + o.Entries, First: s.First, Second: s.Second, Heard: s.Heard}
	for _, t := range []time.Time{o.First, o.Second} {
		switch {
		case t.IsZero():
		case out.First.IsZero() || t.Before(out.First):
			out.First, out.Second = t, out.First
		case out.Second.IsZero() || t.Before(out.Second):
			out.Second = t
		}
	}
	if o.Heard.After(out.Heard) {
		out.Heard = o.Heard
	}
	return out
}

// Ended reports whether the upstream gave a sign of life after the first entry began to wait. Packets that
// were sent before that sign are no evidence any more.
func (s Silence) Ended() bool { return !s.First.IsZero() && !s.Heard.Before(s.First) }

// LongestWait returns for how long an entry has been waiting; 0: none waits.
func (s Silence) Alone(now time.Time) time.Duration {
	if s.Entries == 0 || s.First.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.First)
}

// SharedWait returns for how long at least two entries have been waiting; 0: fewer than two wait.
func (s Silence) Together(now time.Time) time.Duration {
	if s.Entries < 2 || s.Second.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.Second)
}
