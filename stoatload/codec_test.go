package stoatload

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
)

// Guards against figures that the codec loses: what is decoded differs from what was encoded by less than the
// resolution of the wire.
func TestReportCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := sumGroups(rapid.SliceOfN(groupGenerator(), 0, 5).Draw(t, "groups"))
		data, err := EncodeReport(start, Report{Groups: want})
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeReport(start, "here", data)
		if err != nil || len(got.Groups) != len(want) {
			t.Fatal(err, len(got.Groups), len(want))
		}
		for i, g := range got.Groups {
			w := want[i]
			if g.Group != w.Group || g.Entries != w.Entries || math.Abs(g.Answered-w.Answered) > 0.001 || math.Abs(g.Rejected-w.Rejected) > 0.001 ||
				w.AnswerTime-g.AnswerTime >= time.Microsecond || len(g.Levels) != len(w.Levels) {
				t.Fatalf("%+v instead of %+v", g, w)
			}
		}
	})
}

// Guards against times of one machine's clock that another one takes for its own: only ages are sent.
func TestExchangeCodec(t *testing.T) {
	x := Exchange{DataCentre: "here", Parts: []Part{
		{Origin: addrOf(1), Load: CentreLoad{DataCentre: "here", At: start.Add(-300 * ms), Groups: contended("here", 10)}},
		{Load: CentreLoad{DataCentre: "there", At: start.Add(-700 * ms), Groups: calm("there", 5)}},
	}}
	data, err := EncodeExchange(start, x)
	if err != nil {
		t.Fatal(err)
	}
	shift := 40 * time.Hour
	got, err := DecodeExchange(start.Add(shift), data)
	if err != nil {
		t.Fatal(err)
	}
	for i := range got.Parts {
		got.Parts[i].Load.At = got.Parts[i].Load.At.Add(-shift)
	}
	if diff := cmp.Diff(x, got, cmp.Comparer(sameOrigin)); diff != "" {
		t.Error(diff)
	}
	list := []CentreLoad{x.Parts[0].Load, x.Parts[1].Load}
	if data, err = EncodeCentres(start, list); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeCentres(start, data); err != nil || cmp.Diff(list, got) != "" {
		t.Error(err, cmp.Diff(list, got))
	}
	if data, err = EncodeCentre(start, list[0]); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeCentre(start, data); err != nil || cmp.Diff(list[0], got) != "" {
		t.Error(err, cmp.Diff(list[0], got))
	}
}

func sameOrigin(a, b interface{ IsValid() bool }) bool { return a == b }

// Guards against messages that grow with the number of entries.
func TestBytesDoNotDependOnEntries(t *testing.T) {
	size := func(entries int) int {
		agg := newAggregator(0, "here")
		agg.SetTopmost(true)
		agg.SetOwn(start, contended("here", 1000))
		for i := range entries {
			c := newAggregator(i+1, "here")
			c.SetOwn(start, contended("here", 1000))
			agg.RemoveChild(addrOf(1))
			agg.HandleChild(start, addrOf(1), Report{Groups: sumGroups(append(agg.Subtree(start), c.Subtree(start)...))})
		}
		sum, ok := agg.Sum(start)
		data, err := EncodeCentre(start, sum)
		if err != nil || !ok {
			t.Fatal(err, ok)
		}
		return len(data)
	}
	one, many := size(1), size(7540)
	// Integers of the wire take up to five bytes instead of three.
	if many > one+24 {
		t.Error(one, many)
	}
}

// Guards against figures from others that would make a sum useless: a group or part with one of them is left out, and the
// others of the message are kept. Lists beyond the limits and messages cut short are rejected.
func TestFaultyReportsAreRejected(t *testing.T) {
	type level struct {
		_msgpack                    struct{} `msgpack:",as_array"`
		Priority, Arrived, Admitted any
	}
	good := func() []any {
		return []any{"app", 3, 10, 10, 10, 10, 10, []level{{Priority: 1, Arrived: 5, Admitted: 5}}}
	}
	with := func(i int, v any) []any {
		g := good()
		g[i] = v
		return g
	}
	groups := func(n int) []any {
		var out []any
		for range n {
			out = append(out, good())
		}
		return out
	}
	faults := map[string][]any{
		"negative entries":       {[]any{with(1, -1)}, []any{}},
		"negative rate":          {[]any{with(2, -5)}, []any{}},
		"rate out of bounds":     {[]any{with(3, int64(1)<<62)}, []any{}},
		"rate beyond int64":      {[]any{with(3, uint64(math.MaxUint64))}, []any{}},
		"rate that is no number": {[]any{with(4, math.NaN())}, []any{}},
		"infinite rate":          {[]any{with(4, math.Inf(1))}, []any{}},
		"rate that is text":      {[]any{with(4, "1")}, []any{}},
		"answer time of a day":   {[]any{with(5, int64(86_400_000_000))}, []any{}},
		"service without a name": {[]any{with(0, 5)}, []any{}},
		"long name":              {[]any{with(0, string(make([]byte, maxNameBytes+1)))}, []any{}},
		"too many levels":        {[]any{with(7, make([]level, MaxLevels+1))}, []any{}},
		"priority out of bounds": {[]any{with(7, []level{{Priority: int64(1) << 40, Arrived: 1, Admitted: 1}})}, []any{}},
		"negative arrivals":      {[]any{with(7, []level{{Arrived: -1, Admitted: 1}})}, []any{}},
		"faulty origin":          {[]any{}, []any{[]any{[]byte{1, 2, 3}, []any{"there", 5, []any{}}}}},
		"negative age":           {[]any{}, []any{[]any{[]byte{}, []any{"there", -5, []any{}}}}},
		"group that is no array": {[]any{5}, []any{}},
		"part that is no array":  {[]any{}, []any{"x"}},
	}
	for name, message := range faults {
		other := good()
		other[0] = "other"
		part := []any{[]byte{}, []any{"yonder", 5, []any{other}}}
		data, err := msgpack.Marshal([]any{append(message[0].([]any), other), append(message[1].([]any), part)})
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeReport(start, "here", data)
		if err != nil || len(got.Groups) != 1 || got.Groups[0].Group.Service != "other" || len(got.Parts) != 1 || got.Parts[0].Load.DataCentre != "yonder" || len(got.Parts[0].Load.Groups) != 1 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	for name, message := range map[string]any{
		"too many groups":         []any{groups(MaxGroups + 1), []any{}},
		"too many parts":          []any{[]any{}, make([]any, MaxParts+1)},
		"no array":                map[string]int{"a": 1},
		"groups that are no list": []any{5, []any{}},
	} {
		data, err := msgpack.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var typed *stoatpaddle.DecodeError
		if got, err := DecodeReport(start, "here", data); !errors.As(err, &typed) {
			t.Errorf("%s: accepted as %+v, %v", name, got, err)
		}
	}
	data, err := msgpack.Marshal([]any{groups(2), []any{}})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := DecodeReport(start, "here", data); err != nil || len(r.Groups) != 1 || r.Groups[0].Answered != 0.02 {
		t.Errorf("%+v %v", r, err)
	}
	for i := range data {
		if _, err := DecodeReport(start, "here", data[:i]); err == nil {
			t.Errorf("accepted the first %d bytes of %d", i, len(data))
		}
	}
	if _, err := DecodeReport(start, "here", make([]byte, MaxMessageBytes+1)); err == nil {
		t.Error("accepted a message that is too long")
	}
}

// Guards against figures of this entry that make the message unreadable for others.
func TestOwnFiguresAreBounded(t *testing.T) {
	g := GroupLoad{
		Group: app, Entries: math.MaxInt, Answered: math.NaN(), Rejected: math.Inf(1), InProgress: -4, AnswerTime: time.Hour, Unqueued: -1,
		Levels: []LevelLoad{{Priority: math.MinInt, Arrived: 1}, {Priority: 1, Arrived: math.Inf(-1), Admitted: 1e300}},
	}
	data, err := EncodeReport(start, Report{Groups: []GroupLoad{g}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeReport(start, "here", data)
	if err != nil {
		t.Fatal(err)
	}
	want := GroupLoad{Group: app, Entries: maxEntries, Rejected: maxFigure, AnswerTime: maxAnswer, Levels: []LevelLoad{{Priority: 1, Admitted: maxFigure}}}
	if diff := cmp.Diff([]GroupLoad{want}, r.Groups); diff != "" {
		t.Error(diff)
	}
}

// Guards against messages that a receiver rejects for their length: the parts that don't fit are left out.
func TestMessagesFit(t *testing.T) {
	var groups []GroupLoad
	for i := range MaxGroups {
		g := GroupLoad{Group: GroupID{Service: stoatpaddle.ServiceID(fmt.Sprintf("%0*d", maxNameBytes, i)), DataCentre: "here"}, Entries: maxEntries, Answered: maxFigure, Rejected: maxFigure, InProgress: maxFigure, AnswerTime: maxAnswer, Unqueued: maxAnswer}
		for p := range MaxLevels {
			g.Levels = append(g.Levels, LevelLoad{Priority: math.MaxInt32 - MaxLevels + p, Arrived: maxFigure, Admitted: maxFigure})
		}
		groups = append(groups, g)
	}
	var parts []Part
	var centres []CentreLoad
	for i := range MaxParts {
		c := CentreLoad{DataCentre: stoatpaddle.DataCentreID(fmt.Sprint("dc", i)), At: start, Groups: groups}
		parts = append(parts, Part{Origin: addrOf(i), Load: c})
		if i < MaxCentres {
			centres = append(centres, c)
		}
	}
	data, err := EncodeReport(start, Report{Groups: groups, Parts: parts})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := DecodeReport(start, "here", data); err != nil || len(r.Groups) != MaxGroups {
		t.Error(err, len(data), len(r.Groups))
	}
	if data, err = EncodeCentres(start, centres); err != nil {
		t.Fatal(err)
	}
	if list, err := DecodeCentres(start, data); err != nil || len(list) == 0 {
		t.Error(err, len(data), len(list))
	}
}

// Entries of several releases run side by side: a message that lacks the last fields is readable, and fields that a
// later release adds are skipped.
func TestReportsOfOtherReleases(t *testing.T) {
	earlier := []any{"app", 3, 10, 10, 10, 10, 10, []any{[]any{1, 5, 5, "new"}}}
	later := append(slices.Clone(earlier), 10, 10, 10, map[string]int{"new": 1})
	for name, message := range map[string]any{
		"later":   []any{[]any{later}, []any{[]any{[]byte{}, []any{"there", 5, []any{later}, 1}, 2}}, "new", []any{1, 2}},
		"earlier": []any{[]any{earlier}},
	} {
		data, err := msgpack.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if r, err := DecodeReport(start, "here", data); err != nil || len(r.Groups) != 1 || len(r.Groups[0].Levels) != 1 {
			t.Errorf("%s: %+v %v", name, r, err)
		}
	}
}
