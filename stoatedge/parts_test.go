package stoatedge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// A planned stop: the fabric needs two checks to see that the entry is not ready, and
// callers' packets come until then. It ends when none came for a while, or just before the
// deadline at which it would be killed.
func TestPlannedStop(t *testing.T) {
	var s stopState
	now := time.Unix(1000, 0)
	s.packet(now)
	if _, done := s.done(now.Add(time.Hour)); done {
		t.Error("done before it was asked")
	}
	if !s.begin(now, 6*time.Second) || s.begin(now, 9*time.Second) {
		t.Error("begun twice, or never")
	}
	for at := time.Duration(0); at <= 2*time.Second; at += 100 * ms {
		s.packet(now.Add(at))
		if _, done := s.done(now.Add(at + 50*ms)); done {
			t.Fatal("ends while packets come, after", at)
		}
	}
	if quiet, done := s.done(now.Add(2400 * ms)); !done || quiet != 400*ms {
		t.Error(quiet, done)
	}
	s.packet(now.Add(4999 * ms))
	if _, done := s.done(now.Add(5 * time.Second)); !done {
		t.Error("it would be killed")
	}
}

// A machine stands still, or is suspended, for three seconds: what waits in the socket is old. A slow machine
// whose ticks come late is not paused.
func TestPause(t *testing.T) {
	var w pauseWatch
	w.tick(time.Hour)
	if gap := w.paused(time.Hour + time.Second); gap != 0 {
		t.Error(gap)
	}
	if gap := w.paused(time.Hour + 3*time.Second); gap != 3*time.Second {
		t.Error(gap)
	}
	w.tick(time.Hour + 3*time.Second)
	if gap := w.paused(time.Hour + 3100*ms); gap != 0 {
		t.Error("said twice")
	}
	if a, b := uptime(), uptime(); a <= 0 || b < a {
		t.Error(a, b)
	}
}

// A changed settings file: bounds are in force at once, addresses need a start.
func TestMergeSettings(t *testing.T) {
	old := stoatsetting.Settings{Instance: "a", Level: "info", Apply: time.Second}
	next := stoatsetting.Settings{Instance: "b", Level: "debug", Apply: 2 * time.Second, Stop: time.Second}
	got, applied, kept := merge(old, next)
	if got.Instance != "a" || got.Level != "debug" || got.Apply != 2*time.Second || got.Stop != time.Second {
		t.Errorf("%+v", got)
	}
	if diff := cmp.Diff([]string{"log.level", "platform.apply", "stop.deadline"}, applied); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"instance.id"}, kept); diff != "" {
		t.Error(diff)
	}
}

// What one entry tells, another takes in as the same.
func TestHoldingCodec(t *testing.T) {
	c, r := declared(4, 9), registered("i-2", 2, 7)
	c.declaration.Caps = map[stoatpaddle.ServiceID]int{"app": 2000}
	c.declaration.Idle = 15 * time.Second
	c.declaration.Routes[0].Idempotent = true
	r.registration.Leaving = true
	r.registration.Addr = listen
	b := stoatroute.NewBook(stoatroute.Config{})
	b.Declare(*c.declaration, c.revision)
	b.Register(time.Unix(1000, 0), *r.registration, r.revision)
	w := encodeHolding(b.Table())
	got, err := decodeHolding(&w)
	if err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	if got[0].revision != 9 || got[0].declaration.Idle != 15*time.Second || !got[0].declaration.Routes[0].Idempotent || got[0].declaration.Caps["app"] != 2000 {
		t.Errorf("%+v", got[0].declaration)
	}
	if *got[1].registration != *r.registration || got[1].revision != 7 {
		t.Errorf("%+v", got[1].registration)
	}
	w.Upstreams[0].Addr = "nowhere"
	if _, err := decodeHolding(&w); err == nil {
		t.Error("a faulty neighbour is believed")
	}
}

// A small heap is collected rarely, a large one must not grow to several times its size.
func TestCollector(t *testing.T) {
	for live, want := range map[uint64]int{0: 400, 11 << 20: 400, 20 << 20: 200, 60 << 20: 100} {
		if got := collectAt(live); got != want {
			t.Errorf("%d MB: %d", live>>20, got)
		}
	}
}
