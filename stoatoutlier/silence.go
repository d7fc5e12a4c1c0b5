package stoatoutlier

import "time"

// Silence is how entries wait for an upstream in vain: each has a packet outstanding there for
// longer than an answer takes, and had no sign of it since.
//
// One entry alone may have lost a packet, or have a network of its own that fails. Two that wait
// independently, while none of the data centre heard anything, are evidence against the upstream.
type Silence struct {
	Entries int       // that wait
	First   time.Time // since when the first of them waits; zero: none does
	Second  time.Time // since when the second does; zero: there is one at most
	Heard   time.Time // the last sign of life that any entry had; zero: none of late
}

// Add returns what both saw together.
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

// Ended tells whether the upstream gave a sign of life since an entry began to wait: packets
// sent before it say nothing any more.
func (s Silence) Ended() bool { return !s.First.IsZero() && !s.Heard.Before(s.First) }

// Alone is for how long an entry has waited; 0: none does.
func (s Silence) Alone(now time.Time) time.Duration {
	if s.Entries == 0 || s.First.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.First)
}

// Together is for how long two entries have waited; 0: no two do.
func (s Silence) Together(now time.Time) time.Duration {
	if s.Entries < 2 || s.Second.IsZero() || s.Ended() {
		return 0
	}
	return now.Sub(s.Second)
}
