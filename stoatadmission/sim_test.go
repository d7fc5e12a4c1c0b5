package stoatadmission_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

const (
	simService  = 40 * time.Millisecond // of a request without a queue
	simRTT      = 6 * time.Millisecond  // from a refusal or rejection to the next try
	simTries    = 3
	simReport   = 200 * time.Millisecond // between two sums of the data centre
	simBucket   = 100 * time.Millisecond
	simDeadline = time.Second // a later answer does not count as served
)

// stream is the load of one route: requests a second by time, as a multiple of the capacity.
type stream struct {
	priority int
	load     func(at time.Duration) float64
	long     bool // its requests are on open flows, so that no entry can refuse them
	callers  int  // addresses; 0: one for each request
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// burst is a load that is higher in an interval.
func burst(usual, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return usual
	}
}

// tally counts the requests of a stream that were first tried within a bucket of time, and the openings for them.
type tally struct{ asked, served, openings, refused int }

// simConfig configures a simulation of callers, entries with a limiter each, and upstreams that share one queue.
type simConfig struct {
	entries  int
	slots    int
	queue    int
	duration time.Duration
	streams  []stream
	limiter  stoatadmission.Config
	shared   bool                           // whether the entries know the sums of the data centre
	hang     func(at time.Duration) float64 // share of the requests that never get an answer and keep their slots
	during   func(s *sim, at time.Duration) // called each simBucket
	decided  func(*sim, int, stoatadmission.Decision)
}

type sim struct {
	cfg      simConfig
	rnd      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	limiters []*stoatadmission.Limiter
	running  int
	waiting  []func()
	busy     []int     // running requests at the end of each bucket
	tallies  [][]tally // by stream and bucket
	changes  []stoatadmission.Change
	sums     bool // the sums reach the entries
}

var simStart = time.Unix(5000, 0)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (c *simConfig) capacity() float64 { return float64(c.slots) / simService.Seconds() }

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(1, 2)), sums: cfg.shared}
	for i := range cfg.entries {
		s.limiters = append(s.limiters, s.newLimiter(i))
	}
	for range cfg.streams {
		s.tallies = append(s.tallies, make([]tally, int(cfg.duration/simBucket)+1))
	}
	return s
}

func (s *sim) newLimiter(i int) *stoatadmission.Limiter {
	cfg := s.cfg.limiter
	cfg.Seed = uint64(i + 1)
	return stoatadmission.New(cfg)
}

func runSim(cfg simConfig) *sim {
	s := newSim(cfg)
	for i := range cfg.streams {
		s.arrive(i)
	}
	for at := simBucket; at <= cfg.duration; at += simBucket {
		s.at(at, s.tick)
	}
	for at := simReport; at <= cfg.duration; at += simReport {
		s.at(at, s.report)
	}
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// tick is called each simBucket.
func (s *sim) tick() {
	s.busy = append(s.busy, s.running)
	for i, l := range s.limiters {
		l.Advance(s.time())
		for _, c := range l.TakeChanges() {
			if i == 0 {
				s.changes = append(s.changes, c)
			}
		}
	}
	if s.cfg.during != nil {
		s.cfg.during(s, s.now)
	}
}

// report gives each entry the sum of what all observed.
func (s *sim) report() {
	if !s.sums {
		return
	}
	var sum stoatload.GroupLoad
	for _, l := range s.limiters {
		sum = sum.Add(l.Load(s.time()))
	}
	e := stoatadmission.Evidence{At: s.time(), Entries: sum.Entries, Answered: sum.Answered, Rejected: sum.Rejected, AnswerTime: sum.AnswerTime, Unqueued: sum.Unqueued, Levels: sum.Levels}
	const delay = 50 * time.Millisecond
	s.at(s.now+delay, func() {
		for _, l := range s.limiters {
			l.SetShared(e)
		}
	})
}

// arrive schedules the next request of a stream.
func (s *sim) arrive(i int) {
	rate := s.cfg.streams[i].load(s.now) * s.cfg.capacity()
	if s.now >= s.cfg.duration {
		return
	}
	if rate <= 0 {
		s.at(s.now+simBucket/10, func() { s.arrive(i) })
		return
	}
	s.at(s.now+time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= s.cfg.duration {
			return
		}
		s.arrive(i)
		t := &s.tallies[i][s.now/simBucket]
		t.asked++
		s.try(i, t, s.caller(i), s.now, 1)
	})
}

func (s *sim) caller(i int) netip.Addr {
	n := s.rnd.Uint32()
	if c := s.cfg.streams[i].callers; c > 0 {
		n %= uint32(c)
	}
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// try makes the n-th try of a request at a random entry.
func (s *sim) try(i int, t *tally, from netip.Addr, first time.Duration, n int) {
	l := s.limiters[s.rnd.IntN(len(s.limiters))]
	retry := func() {
		if n < simTries {
			s.at(s.now+simRTT, func() { s.try(i, t, from, first, n+1) })
		}
	}
	if !s.cfg.streams[i].long {
		t.openings++
		d := l.Decide(s.time(), stoatadmission.Opening{Priority: s.cfg.streams[i].priority, Route: simRoute(i), Caller: from})
		if s.cfg.decided != nil {
			s.cfg.decided(s, i, d)
		}
		if !d.Admitted {
			t.refused++
			retry()
			return
		}
	}
	sent := s.now
	s.serve(func() {
		l.Answered(s.time(), s.now-sent, simService)
		if s.now-first <= simDeadline {
			t.served++
		}
	}, func() {
		s.at(s.now+simRTT, func() {
			l.Rejected(s.time())
			retry()
		})
	})
}

func simRoute(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(i+1))
}

// serve runs a request, now or from the queue, or rejects it.
func (s *sim) serve(done, rejected func()) {
	begin := func() {
		s.running++
		if s.cfg.hang != nil && s.rnd.Float64() < s.cfg.hang(s.now) {
			return
		}
		s.at(s.now+time.Duration(float64(simService)*(0.5+s.rnd.Float64())), func() {
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			done()
		})
	}
	switch {
	case s.running < s.cfg.slots:
		begin()
	case len(s.waiting) < s.cfg.queue:
		s.waiting = append(s.waiting, begin)
	default:
		rejected()
	}
}

// sum adds up the tallies of a stream for requests from one time to another.
func (s *sim) sum(i int, from, to time.Duration) tally {
	var out tally
	for _, t := range s.tallies[i][from/simBucket : to/simBucket] {
		out.asked += t.asked
		out.served += t.served
		out.openings += t.openings
		out.refused += t.refused
	}
	return out
}

// served returns the share of the requests of a stream that were served.
func (s *sim) served(i int, from, to time.Duration) float64 {
	t := s.sum(i, from, to)
	return float64(t.served) / float64(max(1, t.asked))
}

// used returns the share of the slots in use.
func (s *sim) used(from, to time.Duration) float64 {
	sum, n := 0, 0
	for _, b := range s.busy[from/simBucket : to/simBucket] {
		sum += b
		n++
	}
	return float64(sum) / float64(n*s.cfg.slots)
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: at, seq: s.seq, do: do})
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *simEvents) Push(x any) {
	v, _ := x.(simEvent)
	*e = append(*e, v)
}

// Pop implements heap.Interface.
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
