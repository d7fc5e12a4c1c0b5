package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// Guards against a list that never ends: a page ends with an object whose name cannot be read. The list goes
// on after the last name that can be read; if there is none, the next call would return the same page, so
// that the page counts as failed.
func TestPageWithUnreadableNames(t *testing.T) {
	named := func(name string) platform.Object { return platform.Object{Meta: platform.Meta{Name: name}} }
	broken := platform.Object{DecodeErr: &stoatpaddle.DecodeError{What: "an object"}}
	for name, c := range map[string]struct {
		after string
		items []platform.Object
		more  bool
		last  string
		want  stoatfeed.Outcome
	}{
		"last":                {"", []platform.Object{named("i-1"), broken}, true, "i-1", stoatfeed.Answered},
		"first":               {"i-0", []platform.Object{broken, named("i-1")}, true, "i-1", stoatfeed.Answered},
		"alone":               {"", []platform.Object{broken}, true, "", stoatfeed.Failed},
		"alone, later":        {"i-1", []platform.Object{broken}, true, "", stoatfeed.Failed},
		"the same name again": {"i-1", []platform.Object{named("i-1")}, true, "i-1", stoatfeed.Failed},
		"alone, complete":     {"", []platform.Object{broken}, false, "", stoatfeed.Answered},
	} {
		r, changes := readAnswer(startCall{topic: upstreams, call: stoatfeed.Call{List: true, After: c.after}}, platform.ReadResult{Items: c.items, More: c.more}, nil)
		if r.Outcome != c.want || r.Last != c.last || (r.Outcome == stoatfeed.Answered) != (len(changes) == len(c.items)) {
			t.Errorf("%s: %+v, %d changes", name, r, len(changes))
		}
	}
}

// A call is cancelled during its pause, since a parent was found. It ends at once, without a call to the
// platform.
func TestInterruptDuringAPause(t *testing.T) {
	e := &Edge{ctx: t.Context(), events: newEventQueue()}
	var c callCancel
	callCtx := c.begin(t.Context())
	c.interrupt()
	e.call(callCtx, startCall{topic: upstreams, call: stoatfeed.Call{Pause: time.Hour}})
	list := e.events.take()
	if x, ok := list[0].(callEnded); len(list) != 1 || !ok || x.result.Outcome != stoatfeed.Interrupted {
		t.Errorf("%+v", list)
	}
}

// Events reach the control goroutine in order, including those that it sends itself, and an event that comes
// after the end does not block its sender.
func TestEventQueue(t *testing.T) {
	q := newEventQueue()
	q.post(1)
	q.post(2)
	if list := q.take(); len(list) != 2 || list[0] != 1 || list[1] != 2 {
		t.Error(list)
	}
	q.post(3)
	q.close()
	q.post(4)
	if list := q.take(); len(list) != 0 {
		t.Error("taken after close:", list)
	}
}
