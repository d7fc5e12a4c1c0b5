package stoatadmission_test

import (
	"math"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
)

// The sums of the data centre stop in a burst, as when an entry loses its parent. Once they are too old, each entry
// decides by its own evidence; urgent requests must still be served first, and all be admitted after the burst.
func TestSumsStop(t *testing.T) {
	cfg := fleet(stream{priority: 1, load: burst(0.15, 0.6, time.Second, 4*time.Second)}, stream{priority: 2, load: burst(0.45, 2.4, time.Second, 4*time.Second)})
	cfg.shared = true
	last := false // the latest decision was by the sum
	cfg.during = func(s *sim, at time.Duration) {
		if at == 2*time.Second {
			s.sums = false
		}
	}
	cfg.decided = func(s *sim, _ int, d stoatadmission.Decision) {
		if last = d.Shared; d.Shared && s.now > 3300*ms {
			t.Fatal("a sum decides that is more than a second old")
		}
	}
	s := runSim(cfg)
	if last {
		t.Error("the last decision is by the sum")
	}
	if got := s.served(0, 2500*ms, 4*time.Second); got < 0.9 {
		t.Errorf("%.3f of the urgent requests are served without the sums", got)
	}
	if n := s.sum(1, 5*time.Second, cfg.duration).refused; n > 0 {
		t.Errorf("%d openings are refused after the burst", n)
	}
}

// An entry restarts in the burst and knows nothing. It must come to refuse the less urgent openings as the others do.
func TestEntryRestarts(t *testing.T) {
	cfg := fleet(stream{priority: 1, load: steady(0.6)}, stream{priority: 2, load: steady(2.4)})
	cfg.during = func(s *sim, at time.Duration) {
		if at == 2*time.Second {
			s.limiters[0] = s.newLimiter(0)
		}
	}
	bothSources(t, cfg, func(t *testing.T, cfg simConfig) {
		s := runSim(cfg)
		if got := s.served(0, 2*time.Second, cfg.duration); got < 0.9 {
			t.Errorf("%.3f of the urgent requests are served", got)
		}
		for i, l := range s.limiters {
			v := l.State(s.time()).Levels[1]
			if share := float64(v.Counts[stoatadmission.RefusedByLevel]) / float64(v.Counts[stoatadmission.RefusedByLevel]+v.Counts[stoatadmission.Admitted]); share < 0.6 {
				t.Errorf("entry %d refuses %.2f of the less urgent openings", i, share)
			}
		}
	})
}

// mostDisagreement returns by how much one of so many entries may differ from the others in its admitted share. What it
// admits in excess is rejected by upstreams, and at most 2 in 100 urgent requests may have all three tries rejected; a
// quarter of the requests is rejected anyway.
func mostDisagreement(entries int) float64 {
	const failed, rejected = 0.02, 0.25
	return float64(entries) * (math.Pow(failed, 1.0/simTries) - rejected)
}

// An entry that restarts in a burst would admit another share of the less urgent openings than the others, so that
// callers are served by chance. From a second after the restart, it agrees with them.
func TestRestartedEntryAgrees(t *testing.T) {
	const restart = 2 * time.Second
	cfg := fleet(stream{priority: 1, load: steady(0.6)}, stream{priority: 2, load: steady(1.4)})
	bothSources(t, cfg, func(t *testing.T, cfg simConfig) {
		var first, others []float64
		cfg.during = func(s *sim, at time.Duration) {
			if at == restart {
				s.limiters[0] = s.newLimiter(0)
			}
			if at < restart+time.Second {
				return
			}
			for i, l := range s.limiters {
				share := l.State(s.time()).Levels[1].Share
				if i == 0 {
					first = append(first, share)
				} else {
					others = append(others, share)
				}
			}
		}
		runSim(cfg)
		a, b, most := average(first), average(others), mostDisagreement(cfg.entries)
		if math.Abs(a-b) > most {
			t.Errorf("the restarted entry admits %.3f of the less urgent openings, the others %.3f: they differ by more than %.3f", a, b, most)
		}
	})
}

func average(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// A configuration changes the priorities under load: the stream that was urgent becomes the less urgent one. The former
// levels, which have no traffic any more, must not limit the new ones.
func TestLevelsChange(t *testing.T) {
	cfg := fleet(stream{priority: 0, load: steady(0.5)}, stream{priority: 5, load: steady(1.5)})
	cfg.duration = 8 * time.Second
	cfg.during = func(s *sim, at time.Duration) {
		if at == 3*time.Second {
			s.cfg.streams[0].priority, s.cfg.streams[1].priority = 9, 7
		}
	}
	bothSources(t, cfg, func(t *testing.T, cfg simConfig) {
		cfg.streams = append([]stream(nil), cfg.streams...)
		s := runSim(cfg)
		if got := s.served(0, time.Second, 3*time.Second); got < 0.9 {
			t.Errorf("before: %.3f of the urgent requests are served", got)
		}
		if n := s.sum(1, 6*time.Second, cfg.duration).refused; n > 0 {
			t.Errorf("after: %d openings of the most urgent level are refused", n)
		}
		if n := s.sum(0, 6*time.Second, cfg.duration); float64(n.refused) < 0.9*float64(n.openings) {
			t.Errorf("after: %d of %d openings of the least urgent level are refused", n.refused, n.openings)
		}
	})
}

// All upstreams hang in a burst, so that there are neither answers nor rejections. Openings must not be refused for good
// on evidence that has aged out.
func TestNoEvidence(t *testing.T) {
	l := stoatadmission.New(stoatadmission.Config{})
	now := simStart
	decide := func(priority int) stoatadmission.Decision {
		return l.Decide(now, stoatadmission.Opening{Priority: priority, Route: simRoute(priority)})
	}
	refused := 0
	for range 400 {
		now = now.Add(2 * ms)
		l.Rejected(now)
		decide(1)
		if !decide(2).Admitted {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("nothing is refused while all requests are rejected")
	}
	for range 400 {
		now = now.Add(2 * ms)
		decide(1)
		decide(2)
	}
	if d := decide(2); !d.Admitted || d.Limiting {
		t.Errorf("%+v", d)
	}
}

// A caller of a level that is refused completely would never be admitted. One that tries again each second is admitted
// within guaranteedEpochs.
func TestGuaranteedShare(t *testing.T) {
	const epochs = 144
	l := stoatadmission.New(stoatadmission.Config{})
	now := simStart
	admittedAt := map[int]int{}
	callers := 200
	for second := range epochs {
		for i := range callers {
			now = now.Add(time.Second / time.Duration(callers))
			for range 4 {
				l.Rejected(now)
				l.Decide(now, stoatadmission.Opening{Priority: 0, Route: simRoute(0)})
			}
			d := l.Decide(now, stoatadmission.Opening{Priority: 1, Route: simRoute(1), Caller: callerAddr(i)})
			if _, known := admittedAt[i]; d.Admitted && !known && second > 0 {
				admittedAt[i] = second
			}
		}
	}
	if len(admittedAt) < callers {
		t.Errorf("%d of %d callers are admitted", len(admittedAt), callers)
	}
}
