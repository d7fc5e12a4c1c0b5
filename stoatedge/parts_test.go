package stoatedge

import (
	"io"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
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

// A machine stands still, or is suspended, for three seconds: what it knows of the platform is older
// by that. A slow machine whose ticks come late is not paused.
func TestPause(t *testing.T) {
	var w pauseWatch
	w.ticked.Store(int64(time.Hour))
	if gap := w.tick(time.Hour + time.Second); gap != 0 {
		t.Error(gap)
	}
	if gap := w.tick(time.Hour + 4*time.Second); gap != 3*time.Second {
		t.Error(gap)
	}
	if gap := w.tick(time.Hour + 4100*ms); gap != 0 {
		t.Error("said twice")
	}
	if gap := w.tick(time.Hour + 8100*ms); gap != 4*time.Second {
		t.Error("a second pause is missed:", gap)
	}
	if a, b := uptime(), uptime(); a <= 0 || b < a {
		t.Error(a, b)
	}
}

// A changed settings file: bounds are in force at once, addresses need a start.
func TestMergeSettings(t *testing.T) {
	old := stoatsetting.Settings{Instance: "a", LogLevel: "info", MaxApplyDelay: time.Second}
	next := stoatsetting.Settings{Instance: "b", LogLevel: "debug", MaxApplyDelay: 2 * time.Second, StopDeadline: time.Second}
	got, applied, kept := merge(old, next)
	if got.Instance != "a" || got.LogLevel != "debug" || got.MaxApplyDelay != 2*time.Second || got.StopDeadline != time.Second {
		t.Errorf("%+v", got)
	}
	if diff := cmp.Diff([]string{"log.level", "platform.apply", "stop.deadline"}, applied); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"instance.id"}, kept); diff != "" {
		t.Error(diff)
	}
}

// How soon evacuations have to be in force is changed at once. Whether they are followed at all needs a
// start: an entry that came to follow them would know none yet, and send flows where none may go. Regions
// are in force at once.
func TestMergeEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		old, next, want time.Duration
		applied, kept   int
	}{
		"sooner":            {old: 5 * time.Second, next: time.Second, want: time.Second, applied: 1},
		"followed from now": {next: time.Second, kept: 1},
		"not any more":      {old: time.Second, want: time.Second, kept: 1},
		"as before":         {old: time.Second, next: time.Second, want: time.Second},
	} {
		got, applied, kept := merge(stoatsetting.Settings{MaxEvacuateDelay: c.old}, stoatsetting.Settings{MaxEvacuateDelay: c.next})
		if got.MaxEvacuateDelay != c.want || len(applied) != c.applied || len(kept) != c.kept {
			t.Errorf("%s: %s, applied %v, kept %v", name, got.MaxEvacuateDelay, applied, kept)
		}
	}
	regions := map[stoatpaddle.DataCentreID]stoatpaddle.RegionID{"here": "south"}
	got, applied, _ := merge(stoatsetting.Settings{}, stoatsetting.Settings{Regions: regions})
	if got.Regions["here"] != "south" || len(applied) != 1 {
		t.Errorf("%+v, applied %v", got.Regions, applied)
	}
}

// A flood meets an entry that has nothing to serve by yet: what finds no room is counted.
func TestFullHoldIsCounted(t *testing.T) {
	e := &Edge{engine: stoatecho.New(stoatecho.Config{Start: clock()}), log: newEventLog(io.Discard, stoatsetting.Settings{})}
	defer e.log.close()
	e.table.Store(&stoatroute.Table{})
	e.place = newPlace(stoattree.Config{})
	m := newMover()
	const packets = 3000
	for i := range packets {
		p := stoatpacket.Packet{Opens: true, Seq: uint32(i)}
		e.handle(clock(), m, 31, &p)
	}
	if held, dropped := len(e.hold.Take()), e.counts.malformed[stoatpacket.DropUnconfigured].Load(); int64(held)+dropped != packets || dropped == 0 {
		t.Error(held, dropped)
	}
}

// What an entry says when it asks arrives as it was meant; what nobody says is refused.
func TestAskCodec(t *testing.T) {
	want := stoattree.JoinRequest{
		From: listen, Centre: "here & there", Position: at(42), LocalOnly: true, MaxAge: 1500 * ms,
		Tried: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:2")},
	}
	q, err := url.ParseQuery(writeAsk(want))
	if err != nil {
		t.Fatal(err)
	}
	got, err := readAsk(q)
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for _, key := range []string{askFrom, askKnown, askWithin, askSkip} {
		broken, _ := url.ParseQuery(writeAsk(want))
		broken.Set(key, "x")
		if _, err := readAsk(broken); err == nil {
			t.Error("taken with a faulty", key)
		}
	}
}

// Guards against a heap that grows to five times what lives on a machine that has no room for it, and against
// one that is collected all the time.
func TestCollector(t *testing.T) {
	for _, c := range []struct {
		live, memory uint64
		want         int
	}{
		{0, 0, 400},
		{11 << 20, 0, 400},
		{20 << 20, 0, 200},
		{60 << 20, 0, 100},
		{0, 120 << 20, 400},
		{2 << 20, 120 << 20, 400},
		{6 << 20, 120 << 20, 150},
		{20 << 20, 120 << 20, 40},
		{20 << 20, 280 << 20, 75},
	} {
		if got := collectAt(c.live, c.memory); got != c.want {
			t.Errorf("%d of %d MB: %d", c.live>>20, c.memory>>20, got)
		}
	}
}
