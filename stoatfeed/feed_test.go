package stoatfeed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

var start = time.Unix(1000, 0)

const bound = 3 * time.Second

func at(rev stoatpaddle.Version) stoatpaddle.Position { return stoatpaddle.Position{Revision: rev} }

func newFeed(stale bool) *stoatfeed.Feed {
	return stoatfeed.New(stoatfeed.Config{MaxDelay: bound, AllowStale: stale, Rand: rand.New(rand.NewPCG(1, 1))})
}

// listed returns a feed that has its first list.
func listed(t *testing.T, stale bool) *stoatfeed.Feed {
	t.Helper()
	f := newFeed(stale)
	c := f.Next()
	if !c.List || c.AllowStale {
		t.Fatalf("%+v", c)
	}
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(10)}); !v.Complete || !v.Current || v.AfterOutage {
		t.Fatalf("%+v", v)
	}
	return f
}

// A list of two pages, and a change between them: the watch starts where the first page
// was read, or the change would never be seen.
func TestPages(t *testing.T) {
	f := newFeed(false)
	c := f.Next()
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(10), More: true, Last: "m"}); v.Complete || !v.Apply || v.Current {
		t.Errorf("%+v", v)
	}
	c = f.Next()
	if !c.List || c.After != "m" {
		t.Errorf("%+v", c)
	}
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(14)}); !v.Complete || f.Position() != at(10) {
		t.Errorf("%+v %d", v, f.Position())
	}
}

// A watch goes silent for good. The next one must be asked, and may take as long as a usual
// answer does, before the change that the first hid has to be in force.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	c := listed(t, false).Next()
	if c.List || c.From != 10 || c.Timeout <= c.Wait || c.Timeout > bound*85/100 {
		t.Errorf("%+v", c)
	}
}

// The platform drops its history while a watch waits: what changed in the gap is found only
// by a list, at once.
func TestForgottenHistory(t *testing.T) {
	f := listed(t, false)
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Forgotten}); v.Apply || v.OutageBegan {
		t.Errorf("%+v", v)
	}
	if c := f.Next(); !c.List || c.Pause != 0 {
		t.Errorf("%+v", c)
	}
}

// The platform is away for two seconds. Upstreams' registrations lapse meanwhile, so that
// a watch afterwards would tell of their end. Only a list follows, marked as after an
// outage; the outage is said once, and its end once.
func TestOutage(t *testing.T) {
	f := listed(t, true)
	now := start
	lost := 0
	for range 5 {
		if f.Done(now, now, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Failed}).OutageBegan {
			lost++
		}
		now = now.Add(500 * time.Millisecond)
	}
	if lost != 1 || !f.Unreachable() || !f.FailingSince().Equal(start) {
		t.Error(lost, f.Unreachable(), f.FailingSince())
	}
	if c := f.Next(); c.Pause <= 0 || c.Pause > 1100*time.Millisecond || c.Wait > time.Millisecond {
		t.Errorf("%+v", c)
	}
	v := f.Done(now, now, f.Next(), stoatfeed.Result{AsOf: at(20), Changes: 3})
	if v.Apply || !v.OutageEnded || f.Unreachable() {
		t.Errorf("%+v", v)
	}
	c := f.Next()
	if v = f.Done(now, now, c, stoatfeed.Result{AsOf: at(20)}); !c.List || !v.Complete || !v.AfterOutage || v.OutageEnded {
		t.Errorf("%+v %+v", c, v)
	}
}

// One call fails because its connection went silent. That is no outage: nothing can lapse
// in a moment, and a list of everything is not needed.
func TestOneFailure(t *testing.T) {
	f := listed(t, true)
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Failed}); v.OutageBegan {
		t.Errorf("%+v", v)
	}
	v := f.Done(start.Add(200*time.Millisecond), start.Add(200*time.Millisecond), f.Next(), stoatfeed.Result{AsOf: at(11)})
	if !v.Apply || v.OutageEnded || f.Next().List {
		t.Errorf("%+v", v)
	}
}

// A replica is seconds behind. Its answer says nothing new and proves nothing; the next
// question goes to the platform itself, and the one after to a replica again.
func TestLaggingReplica(t *testing.T) {
	f := listed(t, true)
	c := f.Next()
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(7)}); !c.AllowStale || v.Apply || v.Current || f.Position() != at(10) {
		t.Errorf("%+v", v)
	}
	if c = f.Next(); c.AllowStale || c.Wait > time.Millisecond {
		t.Errorf("%+v", c)
	}
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(12)}); !v.Apply || !v.Current {
		t.Errorf("%+v", v)
	}
	if c = f.Next(); !c.AllowStale {
		t.Errorf("%+v", c)
	}
}

// Another feed has proof of a later revision: the replica is asked at once, and the watch
// that was given up for it is no failure.
func TestHurry(t *testing.T) {
	f := listed(t, true)
	f.RequestNow()
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Interrupted}); v != (stoatfeed.Decision{}) || !f.FailingSince().IsZero() {
		t.Errorf("%+v", v)
	}
	if c := f.Next(); !c.AllowStale || c.Wait > time.Millisecond || c.Pause != 0 {
		t.Errorf("%+v", c)
	}
}

// A platform that has just returned must not be asked by every entry in one moment.
func TestPausesAreSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		f := stoatfeed.New(stoatfeed.Config{MaxDelay: bound, Rand: rand.New(rand.NewPCG(seed, 1))})
		for range 6 {
			f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Refused})
		}
		seen[f.Next().Pause.Truncate(100*time.Millisecond)] = true
	}
	if len(seen) < 8 {
		t.Error(len(seen), "distinct tenths of a second")
	}
}

// The store refuses by rate: twelve entries list at once after a restart. A list from a
// replica counts toward no rate, and serves meanwhile; nothing lapses, so that no second
// list is needed when it answers again.
func TestRefusedByRate(t *testing.T) {
	f := newFeed(false)
	c := f.Next()
	f.Done(start, start, c, stoatfeed.Result{Outcome: stoatfeed.Refused})
	if c = f.Next(); !c.List || !c.AllowStale {
		t.Fatalf("%+v", c)
	}
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(10)}); !v.Complete || v.Current {
		t.Errorf("%+v", v)
	}
	if c = f.Next(); c.List || c.AllowStale {
		t.Errorf("%+v", c)
	}
	for at := time.Duration(0); at < 3*time.Second; at += time.Second {
		f.Done(start.Add(at), start.Add(at), c, stoatfeed.Result{Outcome: stoatfeed.Refused})
		if c = f.Next(); !c.AllowStale || c.Wait < 500*time.Millisecond {
			t.Errorf("no news meanwhile: %+v", c)
		}
		f.Done(start.Add(at), start.Add(at), c, stoatfeed.Result{Outcome: stoatfeed.Interrupted})
		if c = f.Next(); c.AllowStale {
			t.Errorf("the exact question is not asked again: %+v", c)
		}
	}
	if v := f.Done(start.Add(4*time.Second), start.Add(4*time.Second), c, stoatfeed.Result{AsOf: at(11)}); !v.Apply || f.Next().List {
		t.Errorf("%+v", v)
	}
}

// A replica's list is older than what is known already: what it lacks may be younger than
// the list, and must not be taken for gone.
func TestOldListOfAReplica(t *testing.T) {
	f := listed(t, false)
	f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Refused})
	c := f.Next()
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(8)}); !c.AllowStale || v.Complete {
		t.Errorf("%+v %+v", c, v)
	}
	if c = f.Next(); !c.List || c.AllowStale {
		t.Errorf("%+v", c)
	}
}

// A hundred and fifty upstreams register within seconds, and each answer to each of the
// entries is paid for: news that follows news is gathered for a moment, what is wanted at
// once is not.
func TestNewsIsGathered(t *testing.T) {
	f := listed(t, true)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: at(11), Changes: 1})
	if c := f.Next(); c.Pause != 150*time.Millisecond || c.Pause+c.Timeout > bound*9/10 {
		t.Errorf("%+v", c)
	}
	f.RequestExact()
	if c := f.Next(); c.Pause != 0 {
		t.Errorf("%+v", c)
	}
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: at(12)})
	if c := f.Next(); c.Pause != 0 {
		t.Errorf("%+v", c)
	}
}

// Others wait for what this entry proves. News ends a watch early, and what its answer
// proves is as old as the question; the next watch is shorter by that, so that a proof is
// never older than a half of the bound when the next one comes.
func TestPromptProofs(t *testing.T) {
	f := newFeed(false)
	f.SetStartOptions(false, true)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: at(10)})
	c := f.Next()
	if c.Wait != 1350*time.Millisecond {
		t.Fatal(c.Wait)
	}
	came := start.Add(time.Second)
	r := stoatfeed.Result{AsOf: at(11), Changes: 1}
	if at := c.AsOf(start, came, r); !at.Equal(start) {
		t.Error("news proves later than it was asked:", at.Sub(start))
	}
	f.Done(came, start, c, r)
	if c = f.Next(); c.Wait != 350*time.Millisecond {
		t.Error(c.Wait)
	}
	end := came.Add(400 * time.Millisecond)
	r = stoatfeed.Result{AsOf: at(11)}
	if at := c.AsOf(came, end, r); !at.Equal(came.Add(350 * time.Millisecond)) {
		t.Error("a watch that waited to its end proves as of then:", at.Sub(came))
	}
	if at := c.AsOf(came, came.Add(100*time.Millisecond), r); !at.Equal(came) {
		t.Error("a watch that did not wait proves later than it was asked:", at.Sub(came))
	}
	f.Done(end, came, c, r)
	if c = f.Next(); c.Wait != 1300*time.Millisecond {
		t.Error(c.Wait)
	}
}

// All entries start at once. Those that are told by others list a replica, which counts
// toward no rate; after an outage they do not, since a replica does not show yet what came back.
func TestStartFromReplica(t *testing.T) {
	f := newFeed(true)
	f.SetStartOptions(true, false)
	c := f.Next()
	if !c.List || !c.AllowStale {
		t.Fatalf("%+v", c)
	}
	f.Done(start, start, c, stoatfeed.Result{AsOf: at(10)})
	f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	if c = f.Next(); !c.List || c.AllowStale {
		t.Errorf("%+v", c)
	}
}

// Another entry told everything: nothing is listed, and the watch goes on from there.
func TestAdopt(t *testing.T) {
	f := newFeed(true)
	f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Failed})
	f.Adopt(at(20))
	if c := f.Next(); c.List || c.From != 20 || c.Pause != 0 || !f.FailingSince().IsZero() {
		t.Errorf("%+v", c)
	}
	f.Adopt(at(15))
	if f.Position() != at(20) {
		t.Error(f.Position())
	}
}

// All open connections go silent for good, also the idle one to the platform, and a question
// is asked on it in the last quarter of the bound. It is given up in time for another one on
// a new connection; a platform that answers slowly gets more time with each try.
func TestQuestionsAreGivenUpSoon(t *testing.T) {
	f := listed(t, false)
	f.RequestExact()
	last := time.Duration(0)
	for range 4 {
		c := f.Next()
		if c.Wait > time.Millisecond || c.Timeout <= last {
			t.Errorf("%+v after %s", c, last)
		}
		if last == 0 && c.Timeout > bound/5 {
			t.Error("the first try takes", c.Timeout)
		}
		last = c.Timeout
		f.Done(start, start, c, stoatfeed.Result{Outcome: stoatfeed.Failed})
	}
	for range 10 {
		f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Failed})
	}
	if c := f.Next(); c.Timeout > bound*85/100 {
		t.Error(c.Timeout)
	}
}
