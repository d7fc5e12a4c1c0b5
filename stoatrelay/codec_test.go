package stoatrelay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const ms = time.Millisecond

var listen = netip.MustParseAddrPort("198.18.0.1:443")

// version is a configuration with one route, and the revision at which it was written.
type version struct {
	revision    stoatpaddle.Version
	declaration *stoatpaddle.Declaration
}

func declared(number, revision stoatpaddle.Version) version {
	return version{revision: revision, declaration: &stoatpaddle.Declaration{
		Version: number, Routes: []stoatpaddle.Route{{Listen: listen, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}},
	}}
}

// entry is a registration, and the revision at which it was written.
type entry struct {
	revision     stoatpaddle.Version
	registration *stoatpaddle.Registration
}

func registered(id stoatpaddle.UpstreamID, target stoatpaddle.TargetID, revision stoatpaddle.Version) entry {
	return entry{revision: revision, registration: &stoatpaddle.Registration{
		ID: id, Target: target, Service: "app", DataCentre: "here", Slots: 3, CreateRevision: revision,
	}}
}

// What one entry tells, another takes in as the same; later it is told what changed alone.
func TestNewsCodec(t *testing.T) {
	c, r := declared(4, 9), registered("i-2", 2, 7)
	c.declaration.MaxFlows = map[stoatpaddle.ServiceID]int{"app": 2000}
	c.declaration.ColdRates = map[stoatpaddle.ServiceID]float64{"app": 2.5}
	c.declaration.Routes[0].Regions = []stoatpaddle.RegionID{"south", "north"}
	c.declaration.IdleTimeout = 15 * time.Second
	c.declaration.Routes[0].Idempotent = true
	r.registration.Leaving = true
	r.registration.Addr = listen
	r.registration.ColdRemaining = 3 * time.Second
	now := time.Unix(1000, 0)
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(*c.declaration, c.revision)
	b.Register(now, *r.registration, r.revision)
	first := b.Table()
	got, err := Decode(&Head{PositionRevision: 12}, overTheWire(t, EncodeBody(now.Add(time.Second), first, ChildState{})))
	if err != nil || got.Delta == nil || len(got.Upstreams) != 1 || !got.Full || got.Position.Revision != 12 {
		t.Fatalf("%+v %v", got, err)
	}
	a := got.Delta
	if diff := cmp.Diff(*c.declaration, a.Declaration, cmp.Comparer(sameAddr)); diff != "" || a.Revision != 9 || a.Base != 0 {
		t.Error(diff, a.Revision, a.Base)
	}
	want := *r.registration
	want.ColdRemaining = 2 * time.Second
	if u := got.Upstreams[0]; u.Registration != want || u.Revision != 7 || u.State != stoatroute.Leaving {
		t.Errorf("%+v", u)
	}
	b.MarkGone(now, "i-2", 12)
	got, err = Decode(&Head{}, overTheWire(t, EncodeBody(now, b.Table(), ChildStateOf(first))))
	if err != nil || got.Delta != nil || len(got.Upstreams) != 1 || got.Upstreams[0].State != stoatroute.Gone || got.Upstreams[0].Revision != 12 {
		t.Errorf("%+v %v", got, err)
	}
	if w := EncodeBody(now, b.Table(), ChildStateOf(b.Table())); w != nil {
		t.Errorf("told again: %+v", w)
	}
	for _, spoil := range []func(w *Body){
		func(w *Body) { w.Upstreams[0].Addr = []byte{1} },
		func(w *Body) { w.Upstreams[0].Standing = 9 },
		func(w *Body) { w.Upstreams[0].Service = 99 },
		func(w *Body) { w.Upstreams[0].Centre = -1 },
		func(w *Body) { w.Declaration.Routes[0].Listen = nil },
	} {
		w := EncodeBody(now, first, ChildState{})
		spoil(w)
		if _, err := Decode(&Head{}, w); err == nil {
			t.Errorf("a faulty parent is believed: %+v", w)
		}
	}
	if _, err := Decode(&Head{Path: []string{"x"}}, nil); err == nil {
		t.Error("a faulty path is believed")
	}
}

func sameAddr(a, b netip.AddrPort) bool { return a == b }

func overTheWire(t *testing.T, w *Body) *Body {
	t.Helper()
	data, err := Encode(w)
	if err != nil {
		t.Fatal(err)
	}
	out := &Body{}
	if err := msgpack.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// A route moved to another service while flows are open at the one before. An entry that
// starts afterwards, and is told by one that saw it, forwards their packets too.
func TestEarlierServicesAreTold(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	first, moved := declared(1, 5), declared(2, 9)
	moved.declaration.Routes[0].Backends[0].Service = "other"
	b.ApplyDeclaration(*first.declaration, first.revision)
	b.ApplyDeclaration(*moved.declaration, moved.revision)
	got, err := Decode(&Head{}, overTheWire(t, EncodeBody(time.Unix(1000, 0), b.Table(), ChildState{})))
	if err != nil {
		t.Fatal(err)
	}
	later := stoatroute.NewBuilder(stoatroute.Config{})
	later.ApplyDeclaration(got.Delta.Declaration, got.Delta.Revision)
	if r := later.Table().Route(listen); !r.EverUsed("app") || !r.EverUsed("other") || r.EverUsed("third") {
		t.Error(r.FormerServices())
	}
}

// A configuration of two thousand routes changes: one route is added, one changed, one
// removed. What is told is those three, and makes the same of the version before.
func TestDifferenceOfDeclarations(t *testing.T) {
	route := func(i int, priority int) stoatpaddle.Route {
		addr := netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
		return stoatpaddle.Route{Listen: netip.AddrPortFrom(addr, 443), Priority: priority, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}
	}
	old := stoatpaddle.Declaration{Version: 3, MaxFlows: map[stoatpaddle.ServiceID]int{}}
	for i := range 2000 {
		old.Routes = append(old.Routes, route(i, 1))
	}
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(old, 10)
	before := b.Table()
	next := old
	next.Version = 8
	next.Routes = append([]stoatpaddle.Route{route(0, 5)}, old.Routes[2:]...)
	next.Routes = append(next.Routes, route(5000, 1))
	b.ApplyDeclaration(next, 20)
	w := overTheWire(t, EncodeBody(time.Unix(1000, 0), b.Table(), ChildStateOf(before)))
	if len(w.Declaration.Routes) != 2 || len(w.Declaration.Removed) != 1 || w.Declaration.Base != 3 {
		t.Fatal(len(w.Declaration.Routes), len(w.Declaration.Removed), w.Declaration.Base)
	}
	got, err := Decode(&Head{}, w)
	if err != nil {
		t.Fatal(err)
	}
	made, fits := got.Delta.ApplyTo(&old), got.Delta.AppliesTo(old.Version)
	byListen := cmpopts.SortSlices(func(a, b stoatpaddle.Route) bool { return a.Listen.Compare(b.Listen) < 0 })
	if diff := cmp.Diff(next, made, cmp.Comparer(sameAddr), byListen); diff != "" || !fits {
		t.Error(fits, diff)
	}
	if got.Delta.AppliesTo(old.Version + 1) {
		t.Error("fits a version between")
	}
}

// What a child lacks of evacuations is told to it, over the wire, and no more.
func TestEvacuationCodec(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{RequireEvacuations: true})
	b.ApplyDeclaration(*declared(1, 5).declaration, 5)
	b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: "here", Revision: 7})
	b.ApplyEvacuationList(time.Unix(1000, 0), map[stoatpaddle.DataCentreID]bool{"here": true}, 8)
	first := b.Table()
	b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: "there", Revision: 9})
	b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: "here", Revision: 10, Withdrawn: true})
	for child, want := range map[ChildState]int{{}: 2, ChildStateOf(first): 2, ChildStateOf(b.Table()): 0} {
		got := 0
		if w := EncodeBody(time.Unix(1000, 0), b.Table(), child); w != nil {
			x, err := Decode(&Head{}, overTheWire(t, w))
			if err != nil {
				t.Fatal(err)
			}
			got = len(x.Evacuations)
			for _, ev := range x.Evacuations {
				if ev.Withdrawn != (ev.DataCentre == "here") || ev.Revision < 9 {
					t.Errorf("%+v", ev)
				}
			}
		}
		if got != want {
			t.Errorf("%d states told to a child that holds %+v, expected %d", got, child, want)
		}
	}
}

// A parent's message carries an upstream's incarnation: without it, a child would take a start
// for a heartbeat.
func TestIncarnationIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	b := stoatroute.NewBuilder(stoatroute.Config{})
	r := registered("i-1", 1, 5).registration
	r.Incarnation, r.ColdRemaining, r.Addr = 1_790_000_000_000, 3*time.Second, netip.MustParseAddrPort("10.0.0.1:80")
	b.Register(now, *r, 5)
	data, err := Encode(EncodeBody(now, b.Table(), ChildState{}))
	if err != nil {
		t.Fatal(err)
	}
	var w Body
	if err := msgpack.Unmarshal(data, &w); err != nil {
		t.Fatal(err)
	}
	x, err := Decode(&Head{}, &w)
	if err != nil || len(x.Upstreams) != 1 || x.Upstreams[0].Registration != *r {
		t.Errorf("%v %+v", err, x.Upstreams)
	}
}

// Entries are replaced in turn, so that some are of the release before, whose messages lack the last
// fields, and some of the next one, whose messages have more. Both are read: what is missing is empty,
// what is not known is passed over.
func TestMessagesOfOtherReleases(t *testing.T) {
	type earlier struct {
		_msgpack  struct{} `msgpack:",as_array"`
		Known     uint64
		AgeMS     int64
		Path      []string
		Relatives []string
		Centre    string
		Seen      []int
		Whole     bool
		Body      bool
	}
	type later struct {
		_msgpack struct{} `msgpack:",as_array"`
		Whole    bool
		Names    []string
		Declared *wireConfig
		Held     []wireHeld
		Evac     []wireEvacuation
		New      map[string]int
		More     string
	}
	old, err := Encode(&earlier{Known: 7, Centre: "here", Whole: true})
	if err != nil {
		t.Fatal(err)
	}
	var h Head
	if err := msgpack.Unmarshal(old, &h); err != nil || h.PositionRevision != 7 || h.Centre != "here" || !h.FullReports || h.DataCentreEntries != 0 {
		t.Errorf("%+v %v", h, err)
	}
	next, err := Encode(&later{Names: []string{"app", "here"}, Evac: []wireEvacuation{{Centre: 1, Revision: 9}}, New: map[string]int{"x": 1}})
	if err != nil {
		t.Fatal(err)
	}
	var w Body
	if err := msgpack.Unmarshal(next, &w); err != nil || len(w.Names) != 2 || len(w.Evacuations) != 1 || w.Evacuations[0].Revision != 9 {
		t.Errorf("%+v %v", w, err)
	}
}
