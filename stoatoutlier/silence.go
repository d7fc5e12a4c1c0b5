package stoatoutlier

import "time"

// Silence is how entries wait for an upstream in vain: each has a packet outstanding there for
// longer than an answer takes, and had no sign of it since.
//
// One entry alone may have lost a packet, or have a network of its own that fails. Two that wait
// independently, while none of the data centre heard anything, are evidence against the upstream.
type Silence struct {
	WaitingEntries  int       // that wait
	FirstWaitSince  time.Time // since when the first of them waits; zero: none does
	SecondWaitSince time.Time // since when the second does; zero: there is one at most
	LastHeard       time.Time // the last sign of life that any entry had; zero: none of late
}

// Add returns what both saw together.
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

// Ended tells whether the upstream gave a sign of life since an entry began to wait: packets
// sent before it say nothing any more.
func (s Silence) Ended() bool {
	return !s.FirstWaitSince.IsZero() && !s.LastHeard.Before(s.FirstWaitSince)
}

// LongestWait is for how long an entry has waited; 0: none does.
func (s Silence) LongestWait(now time.Time) time.Duration {
	if s.WaitingEntries == 0 || s.FirstWaitSince.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.FirstWaitSince)
}

// SharedWait is for how long two entries have waited; 0: no two do.
func (s Silence) SharedWait(now time.Time) time.Duration {
	if s.WaitingEntries < 2 || s.SecondWaitSince.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.SecondWaitSince)
}
