package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// A page of a list ends with an object whose name cannot be read. The list goes on after the last
// name that can; where there is none, the question would come back for ever, and counts as failed.
func TestPageEdge(t *testing.T) {
	named := func(name string) platform.Object { return platform.Object{Meta: platform.Meta{Name: name}} }
	broken := platform.Object{DecodeErr: &stoatpaddle.DecodeError{What: "an object"}}
	for name, c := range map[string]struct {
		after string
		items []platform.Object
		more  bool
		last  string
		want  stoatfeed.Outcome
	}{
		"last":            {"", []platform.Object{named("i-1"), broken}, true, "i-1", stoatfeed.Answered},
		"first":           {"i-0", []platform.Object{broken, named("i-1")}, true, "i-1", stoatfeed.Answered},
		"alone":           {"", []platform.Object{broken}, true, "", stoatfeed.Failed},
		"alone, later":    {"i-1", []platform.Object{broken}, true, "", stoatfeed.Failed},
		"again the same":  {"i-1", []platform.Object{named("i-1")}, true, "i-1", stoatfeed.Failed},
		"alone, complete": {"", []platform.Object{broken}, false, "", stoatfeed.Answered},
	} {
		r, changes := readAnswer(ask{topic: upstreams, call: stoatfeed.Call{List: true, After: c.after}}, platform.ReadResult{Items: c.items, More: c.more}, nil)
		if r.Outcome != c.want || r.Last != c.last || (r.Outcome == stoatfeed.Answered) != (len(changes) == len(c.items)) {
			t.Errorf("%s: %+v, %d changes", name, r, len(changes))
		}
	}
}

// A call is given up while it still pauses, since the parent tells now: it ends at once, without
// a question to the platform.
func TestInterruptDuringAPause(t *testing.T) {
	e := &Edge{ctx: t.Context(), events: newMailbox()}
	var c callCancel
	given := c.begin(t.Context())
	c.interrupt()
	e.call(given, ask{topic: upstreams, call: stoatfeed.Call{Pause: time.Hour}})
	list := e.events.take()
	if x, ok := list[0].(ended); len(list) != 1 || !ok || x.result.Outcome != stoatfeed.Interrupted {
		t.Errorf("%+v", list)
	}
}

// Events reach the control goroutine in their order, also those that it posts itself, and
// nothing that is posted late blocks its sender.
func TestMailbox(t *testing.T) {
	m := newMailbox()
	m.post(1)
	m.post(2)
	if list := m.take(); len(list) != 2 || list[0] != 1 || list[1] != 2 {
		t.Error(list)
	}
	m.post(3)
	m.close()
	m.post(4)
	if list := m.take(); len(list) != 0 {
		t.Error("taken after the end:", list)
	}
}
