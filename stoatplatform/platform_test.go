package stoatplatform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

func start(t *testing.T) (*stoatfake.Platform, *stoatplatform.Client) {
	p := stoatfake.NewPlatform()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return p, stoatplatform.New(stoatplatform.Config{Addr: addr, Timeout: 300 * time.Millisecond})
}

var ref = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectContract, Name: "sawt"}

func object(version stoatpaddle.Version, token, value string) stoatpaddle.Object {
	return stoatpaddle.Object{Ref: ref, Version: version, Token: stoatpaddle.WriteToken(token), Value: []byte(value)}
}

func TestConditions(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Two operators write on top of the same version: the second gets the current object", t, func() {
		_, c := start(t)
		first, err := c.Put(ctx, object(0, "a", `1`))
		convey.So(err, convey.ShouldBeNil)
		_, err = c.Put(ctx, object(first.Version, "b", `2`))
		convey.So(err, convey.ShouldBeNil)
		_, err = c.Put(ctx, object(first.Version, "c", `3`))
		var conflict *stoatpaddle.ConflictError
		convey.So(errors.As(err, &conflict), convey.ShouldBeTrue)
		convey.So(string(conflict.Current.Value), convey.ShouldEqual, `2`)
	})
	convey.Convey("A watch returns exactly the changes, including deletions", t, func() {
		_, c := start(t)
		o, err := c.Put(ctx, object(0, "a", `1`))
		convey.So(err, convey.ShouldBeNil)
		_, err = c.Delete(ctx, o)
		convey.So(err, convey.ShouldBeNil)
		l, err := c.Watch(ctx, o.Version, time.Second)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(l.Objects), convey.ShouldEqual, 1)
		convey.So(l.Objects[0].Deleted, convey.ShouldBeTrue)
		_, err = c.Get(ctx, ref)
		var missing *stoatpaddle.NotFoundError
		convey.So(errors.As(err, &missing), convey.ShouldBeTrue)
	})
}

// A write takes effect and its response is lost; then another operator's write follows. The first operator
// repeats the write: it must be reported as accepted, since it did take effect, and must not be applied twice.
func TestLostResponse(t *testing.T) {
	ctx := context.Background()
	p, c := start(t)
	w := &stoatplatform.Writer{Platform: c, Rand: rand.New(rand.NewPCG(1, 1))}
	p.SetFaults(stoatfake.Faults{DropWriteAnswers: 1})
	done, err := w.Put(ctx, object(0, "a", `1`), "a")
	if err != nil || done.Version != 1 {
		t.Fatal(done.Version, err)
	}
	other := object(1, "", `2`)
	other.Token = stoatplatform.ChainToken("b", done.Token)
	if _, err := w.Put(ctx, other, "b"); err != nil {
		t.Fatal(err)
	}
	if got, err := w.Put(ctx, object(0, "a", `1`), "a"); err != nil || got.Version != 2 {
		t.Fatal("the first operator's own write is not recognized:", got.Version, err)
	}
	var conflict *stoatpaddle.ConflictError
	if _, err := w.Put(ctx, object(1, "d", `4`), "d"); !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	if n := len(p.Objects()); n != 1 {
		t.Fatal(n, "objects")
	}
}

// The platform is down, then limits the rate of calls, then never answers a watch. Each failure has an error
// type of its own and is reported within a time limit, and none looks like a rejected write.
func TestPlatformFailures(t *testing.T) {
	ctx := context.Background()
	p, c := start(t)
	var unavailable *stoatpaddle.UnavailableError
	var unknown *stoatplatform.UnknownOutcomeError
	var rate *stoatpaddle.RateLimitError
	p.SetFaults(stoatfake.Faults{Down: true})
	if _, err := c.List(ctx); !errors.As(err, &unavailable) {
		t.Error("down:", err)
	}
	w := &stoatplatform.Writer{Platform: c, Rand: rand.New(rand.NewPCG(1, 1)), MaxAttempts: 2}
	if _, err := w.Put(ctx, object(0, "a", `1`), "a"); !errors.As(err, &unknown) || unknown.Token != "a" {
		t.Error("write while down:", err)
	}
	p.SetFaults(stoatfake.Faults{ReadLimit: 1})
	_, _ = c.List(ctx)
	_, _ = c.List(ctx)
	if _, err := c.List(ctx); !errors.As(err, &rate) || rate.RetryAfter != time.Second {
		t.Error("rate:", err)
	}
	p.SetFaults(stoatfake.Faults{SilentWatches: true})
	if _, err := c.Watch(ctx, 0, 50*time.Millisecond); !errors.As(err, &unavailable) {
		t.Error("silent watch:", err)
	}
	p.SetFaults(stoatfake.Faults{Delay: time.Second})
	if _, err := c.Get(ctx, ref); !errors.As(err, &unavailable) {
		t.Error("slow:", err)
	}
}

// The delays are spread over their range, so that entries do not retry all at once.
func TestBackoffIsSpread(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	early := 0
	for range 1000 {
		if d := stoatplatform.Backoff(rnd, 8); d <= 0 || d > 30*time.Second {
			t.Fatal(d)
		} else if d < 3*time.Second {
			early++
		}
	}
	if early < 50 || early > 400 {
		t.Errorf("%d of 1000 delays are short", early)
	}
}

// An operator reads a contract. Then the store is restored from a copy and assigns the contract's revision a
// second time, to another operator's amendment. The first operator's amendment is conditional on that revision:
// the condition would hold, and the other amendment would be lost silently. A watch from a revision before the
// restore is rejected, since it would omit the writes with lower revisions.
func TestRestore(t *testing.T) {
	ctx := context.Background()
	p, c := start(t)
	made, err := c.Put(ctx, object(0, "a", `1`))
	if err != nil {
		t.Fatal(err)
	}
	copied := p.Snapshot()
	read, err := c.Put(ctx, object(made.Version, "b,a", `2`))
	if err != nil {
		t.Fatal(err)
	}
	p.Restore(copied)
	var history *platform.HistoryError
	if _, err := c.Watch(ctx, read.Version, time.Millisecond); !errors.As(err, &history) {
		t.Error("a watch from before the restore:", err)
	}
	l, err := c.List(ctx)
	if err != nil || len(l.Objects) != 1 || l.Revision <= read.Version || string(l.Objects[0].Value) != `1` {
		t.Fatal(l, err)
	}
	other, err := c.Put(ctx, object(l.Objects[0].Version, "c,a", `3`))
	if err != nil || other.Version <= read.Version || other.Version.Position().Revision != read.Version {
		t.Fatal(other, err)
	}
	var conflict *stoatpaddle.ConflictError
	if _, err := c.Put(ctx, object(read.Version, "d,b,a", `4`)); !errors.As(err, &conflict) || string(conflict.Current.Value) != `3` {
		t.Error("an amendment of a version read before the restore:", err)
	}
	if l, err := c.Watch(ctx, other.Version, time.Millisecond); err != nil || l.Revision != other.Version {
		t.Error(l, err)
	}
}
