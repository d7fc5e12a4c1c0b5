package stoatadmission_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
)

// After a fall of the budget, openings would be refused although as many are answered. A limiter that limits nothing
// must not begin for it.
func TestKeepAnswered(t *testing.T) {
	l, now := stoatadmission.New(stoatadmission.Config{}), simStart
	l.KeepAnswered(now)
	if l.State(now).Limiting {
		t.Fatal("nothing is to be limited")
	}
	for i := range 500 {
		now = now.Add(time.Millisecond)
		l.Decide(now, stoatadmission.Opening{Priority: i % 2})
		l.Rejected(now)
	}
	if s := l.State(now); !s.Limiting {
		t.Fatalf("not limited: %+v", s)
	}
	const answers = 200
	for range answers {
		l.Answered(now, 0, 0)
	}
	answered := l.Load(now).Answered
	if got := l.State(now).Budget; got >= answered {
		t.Fatalf("the budget is %.0f, so that the test shows nothing", got)
	}
	l.KeepAnswered(now)
	if got := l.State(now).Budget; got < answered {
		t.Errorf("the budget is %.0f, and %.0f are answered a second", got, answered)
	}
	if got := l.Arrived(now, 0); got < 300 || got > 500 {
		t.Errorf("%.0f openings a second of 500", got)
	}
}
