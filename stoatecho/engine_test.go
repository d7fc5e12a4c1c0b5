package stoatecho_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

var (
	start  = time.Unix(1000, 0)
	feed   = netip.MustParseAddrPort("198.18.0.1:8443") // its requests may run twice
	pledge = netip.MustParseAddrPort("198.18.0.1:8080") // its requests may not
	upload = netip.MustParseAddrPort("198.18.0.2:8443") // of another service
)

const ms = time.Millisecond

// world is an engine with a book and a clock.
type world struct {
	t    *testing.T
	now  time.Time
	book *stoatroute.Builder
	e    *stoatecho.Engine
	rev  stoatpaddle.Version
	port uint16
}

// newWorld has upstreams 1 and 2 of service app here, 3 elsewhere, and 9 of service intake here.
func newWorld(t *testing.T) *world {
	w := &world{t: t, now: start, book: stoatroute.NewBuilder(stoatroute.Config{}), port: 40000}
	w.e = stoatecho.New(stoatecho.Config{DataCentre: "here", Start: start.Add(-time.Minute), Seed: 1})
	w.declare("app")
	w.register(1, "app", "here")
	w.register(2, "app", "here")
	w.register(3, "app", "there")
	w.register(9, "intake", "here")
	w.book.ApplyList(w.now, map[stoatpaddle.UpstreamID]bool{"i-1": true, "i-2": true, "i-3": true, "i-9": true}, false)
	w.book.MarkCurrent(w.now)
	return w
}

func (w *world) declare(service stoatpaddle.ServiceID) {
	w.rev++
	to := func(s stoatpaddle.ServiceID) []stoatpaddle.Backend {
		return []stoatpaddle.Backend{{Service: s, Weight: 1}}
	}
	w.book.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: feed, Backends: to(service), Idempotent: true}, {Listen: pledge, Backends: to(service)}, {Listen: upload, Backends: to("intake")},
	}}, w.rev)
}

func (w *world) register(target stoatpaddle.Target, service stoatpaddle.ServiceID, centre stoatpaddle.DataCentreID) {
	w.rev++
	w.book.Register(w.now, stoatpaddle.Registration{
		ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", target)), Target: target, Service: service, DataCentre: centre, Slots: 3, Created: w.rev,
	}, w.rev)
}

func (w *world) after(d time.Duration) *world {
	w.now = w.now.Add(d)
	return w
}

// caller is one flow.
type caller struct {
	w      *world
	tuple  stoatpacket.Tuple
	cookie stoatpaddle.UpstreamKey
	seq    uint32
	ack    uint32
}

func (w *world) caller(to netip.AddrPort) *caller {
	w.port++
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(w.port)}), w.port)
	return &caller{w: w, tuple: stoatpacket.Tuple{Src: src, Dst: to, Protocol: stoatpaddle.ProtocolTCP}}
}

func (c *caller) send(p stoatpacket.Packet) stoatecho.Action {
	p.Tuple, p.Cookie = c.tuple, c.cookie
	return c.w.e.Handle(c.w.now, c.w.book.Table(), &p)
}

func (c *caller) syn(copies int) stoatecho.Action {
	return c.send(stoatpacket.Packet{Opens: true, Retransmits: copies})
}

// open sends a SYN and the packet that completes the handshake, 10 ms later.
func (c *caller) open() *stoatroute.Upstream {
	c.w.t.Helper()
	a := c.syn(0)
	if a.Verdict != stoatecho.Forward {
		c.w.t.Fatalf("not opened: %+v", a)
	}
	c.cookie = a.Upstream.Key
	c.w.after(10 * ms)
	c.send(stoatpacket.Packet{Ack: 1})
	c.ack = 1
	return a.Upstream
}

// ask sends a request; again sends it once more; done acknowledges its answer.
func (c *caller) ask() stoatecho.Action {
	c.seq += 100
	return c.again()
}

func (c *caller) again() stoatecho.Action {
	return c.send(stoatpacket.Packet{Seq: c.seq, Ack: c.ack, Size: 100})
}

func (c *caller) done() stoatecho.Action {
	c.ack += 1000
	return c.send(stoatpacket.Packet{Seq: c.seq + 100, Ack: c.ack})
}

func wantDrop(t *testing.T, a stoatecho.Action, reason stoatpacket.DropReason) {
	t.Helper()
	if a.Verdict != stoatecho.Drop || a.Reason != reason {
		t.Errorf("%+v, expected a drop: %s", a, reason)
	}
}

func wantReset(t *testing.T, a stoatecho.Action, reason stoatpacket.DropReason) {
	t.Helper()
	if a.Verdict != stoatecho.Reset || a.Reason != reason {
		t.Errorf("%+v, expected a reset: %s", a, reason)
	}
}

// Ten flows open at once: they spread over the own data centre's two upstreams.
func TestPlacesByLoadAtHome(t *testing.T) {
	w := newWorld(t)
	got := map[stoatpaddle.UpstreamID]int{}
	for range 10 {
		c := w.caller(feed)
		got[c.open().ID]++
		c.ask()
		w.after(10 * ms)
		c.done()
	}
	if got["i-1"] < 4 || got["i-2"] < 4 || got["i-3"] != 0 {
		t.Error(got)
	}
}

// A packet of an open flow reaches an entry that never saw it, as each does when an entry
// joins: the cookie alone decides.
func TestUnseenFlowFollowsItsCookie(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	c.cookie = stoatroute.KeyOf(3)
	if a := c.ask(); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-3" {
		t.Errorf("%+v", a)
	}
}

// A caller writes the cookie of another service's upstream into its packets: none may get there.
func TestForgedCookie(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	c.cookie = stoatroute.KeyOf(9)
	wantDrop(t, c.ask(), stoatpacket.DropForged)
}

// A route moves to another service: open flows stay where they are, new ones go there.
func TestRouteMoves(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	was := c.open()
	w.declare("intake")
	if a := c.ask(); a.Verdict != stoatecho.Forward || a.Upstream.ID != was.ID {
		t.Errorf("%+v", a)
	}
	if up := w.caller(feed).open(); up.ID != "i-9" {
		t.Error(up.ID)
	}
}

// A route is removed: its flows end at once instead of waiting for their callers' patience;
// a reset is not answered.
func TestRouteRemoved(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	c.open()
	w.rev++
	w.book.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev}, w.rev)
	wantReset(t, c.ask(), stoatpacket.DropNoRoute)
	wantReset(t, w.caller(feed).syn(0), stoatpacket.DropNoRoute)
	wantDrop(t, c.send(stoatpacket.Packet{Reset: true, Ends: true}), stoatpacket.DropNoRoute)
}

// A flow's upstream registered a moment ago and this entry has not heard of it yet. A reset
// would break a live flow. An answer to a question sent after the packet proves it gone.
func TestUnknownCookieWaitsForProof(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	c.cookie = stoatroute.KeyOf(77)
	wantDrop(t, c.ask(), stoatpacket.DropUnverified)
	wantDrop(t, c.again(), stoatpacket.DropUnverified)
	w.book.MarkCurrent(w.now) // sent at the same moment: it may have been first
	wantDrop(t, c.again(), stoatpacket.DropUnverified)
	w.after(ms)
	w.book.MarkCurrent(w.now)
	wantReset(t, c.again(), stoatpacket.DropUpstreamGone)
}

// An upstream ended: its caller is told at once. One that leaves keeps its open flows and
// gets no new ones. One whose registration lapsed with the platform goes on as before.
func TestStandings(t *testing.T) {
	w := newWorld(t)
	callers := map[stoatpaddle.UpstreamID]*caller{}
	for len(callers) < 2 {
		c := w.caller(feed)
		callers[c.open().ID] = c
	}
	w.rev++
	w.book.MarkGone(w.now, "i-1", w.rev)
	wantReset(t, callers["i-1"].ask(), stoatpacket.DropUpstreamGone)
	w.rev++
	w.book.Register(w.now, stoatpaddle.Registration{ID: "i-2", Target: 2, Service: "app", DataCentre: "here", Slots: 3, Leaving: true}, w.rev)
	if a := callers["i-2"].ask(); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-2" {
		t.Errorf("%+v", a)
	}
	if up := w.caller(feed).open(); up.ID != "i-3" {
		t.Error(up.ID)
	}
	w.book.ApplyList(w.now, nil, true)
	if up := w.caller(feed).open(); up.ID != "i-3" {
		t.Error(up.ID)
	}
}

// An upstream alone cannot reach the platform, so that its registration ends; it goes on
// answering. Open flows stay, as soon as one of them shows that it lives; no new one goes there.
func TestEndedButAnswering(t *testing.T) {
	w := newWorld(t)
	var list []*caller
	for len(list) < 3 {
		if c := w.caller(feed); c.open().ID == "i-1" {
			list = append(list, c)
		}
	}
	list[0].ask()
	w.after(20 * ms)
	w.rev++
	w.book.MarkGone(w.now, "i-1", w.rev)
	wantReset(t, list[1].ask(), stoatpacket.DropUpstreamGone)
	w.after(20 * ms)
	if a := list[0].done(); a.Verdict != stoatecho.Forward {
		t.Errorf("%+v", a)
	}
	if a := list[2].ask(); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-1" {
		t.Errorf("%+v", a)
	}
	if up := w.caller(feed).open(); up.ID == "i-1" {
		t.Error("it gets new flows")
	}
}

// No upstream can take the flow: the caller is told at once, not left until its patience ends.
func TestNobodyAble(t *testing.T) {
	w := newWorld(t)
	w.book.MarkGone(w.now, "i-9", 99)
	wantReset(t, w.caller(upload).syn(0), stoatpacket.DropNoUpstream)
}

// An entry starts. What comes before its table waits; after a second an opening is refused
// at once, so that its caller tries another entry.
func TestYoungEntry(t *testing.T) {
	w := newWorld(t)
	w.e = stoatecho.New(stoatecho.Config{DataCentre: "here", Start: w.now, Seed: 1})
	w.book = stoatroute.NewBuilder(stoatroute.Config{})
	c := w.caller(feed)
	if a := c.syn(0); a.Verdict != stoatecho.Wait {
		t.Errorf("%+v", a)
	}
	w.after(1100 * ms)
	wantReset(t, c.syn(2), stoatpacket.DropUnconfigured)
	wantDrop(t, c.ask(), stoatpacket.DropUnconfigured)
}

// An opening is lost on the way; its upstream answers others meanwhile. The copy goes to
// the same one: at another the flow could be open twice.
func TestLostOpeningGoesToTheSame(t *testing.T) {
	w := newWorld(t)
	c := w.caller(feed)
	first := c.syn(0).Upstream
	w.after(100 * ms)
	other := w.caller(feed)
	other.cookie = first.Key
	other.ask()
	w.after(20 * ms)
	other.done()
	w.after(80 * ms)
	if a := c.syn(1); a.Opened || a.Upstream.ID != first.ID {
		t.Errorf("%+v", a)
	}
}

// An upstream died and gives no sign. The copy of an opening goes to another one, 200 ms
// after the first; new flows avoid it after 60 ms already.
func TestDeadUpstreamIsAvoided(t *testing.T) {
	w := newWorld(t)
	c := w.caller(pledge)
	dead := c.syn(0).Upstream
	w.after(70 * ms)
	for range 5 {
		if up := w.caller(pledge).open(); up.ID == dead.ID || up.DataCentre != "here" {
			t.Error(up.ID, "got a flow")
		}
	}
	w.after(80 * ms)
	if a := c.syn(1); !a.Moved || a.Upstream.ID == dead.ID {
		t.Errorf("%+v", a)
	}
}

// An upstream with open flows dies. Two callers repeat themselves and nothing comes back
// for 200 ms: it gets no flows for a second. No open flow is reset for it, since a full queue
// looks the same; once the platform says that the upstream has ended, they are.
func TestDeadUpstreamIsEjected(t *testing.T) {
	w := newWorld(t)
	var feeds []*caller
	var sworn *caller
	for len(feeds) < 3 || sworn == nil {
		f, p := w.caller(feed), w.caller(pledge)
		if f.open().ID == "i-1" {
			feeds = append(feeds, f)
		}
		if p.open().ID == "i-1" {
			sworn = p
		}
	}
	w.after(time.Second)
	for _, f := range feeds[:2] {
		f.ask()
	}
	sworn.ask()
	w.after(199 * ms)
	for _, f := range feeds[:2] {
		if a := f.again(); a.Verdict != stoatecho.Forward || a.Ejected != nil {
			t.Errorf("too early: %+v", a)
		}
	}
	w.after(401 * ms)
	a := feeds[0].again()
	if a.Ejected == nil || a.Ejected.ID != "i-1" {
		t.Fatalf("%+v", a)
	}
	if a.PendingRequests != 3 {
		t.Errorf("%d requests wait there, of 3", a.PendingRequests)
	}
	for _, a := range []stoatecho.Action{a, feeds[1].again(), feeds[2].ask(), sworn.again()} {
		if a.Verdict != stoatecho.Forward {
			t.Errorf("an open flow was reset on evidence: %+v", a)
		}
	}
	for range 4 {
		if up := w.caller(feed).open(); up.ID != "i-2" {
			t.Error(up.ID)
		}
	}
	// It comes back: after the pause it gets flows again, one first.
	w.after(1100 * ms)
	got := map[stoatpaddle.UpstreamID]int{}
	for range 8 {
		got[w.caller(feed).open().ID]++
	}
	if got["i-1"] == 0 {
		t.Error(got)
	}
}

// An upstream has just started and works slowly: its callers repeat themselves while it is at
// work, and others answer meanwhile. It lives, and no flow there may be reset; it is ejected
// only when it has been silent for four times as long.
func TestColdUpstreamIsNoDeadOne(t *testing.T) {
	w := newWorld(t)
	w.rev++
	w.book.Register(w.now, stoatpaddle.Registration{
		ID: "i-5", Target: 5, Service: "app", DataCentre: "here", Slots: 3, Created: w.rev, Cold: 5 * time.Second,
	}, w.rev)
	var cold []*caller
	for len(cold) < 2 {
		if c := w.caller(feed); c.open().ID == "i-5" {
			cold = append(cold, c)
		}
	}
	for _, c := range cold {
		c.ask()
	}
	w.after(210 * ms)
	w.caller(feed).open() // others give signs
	for _, c := range cold {
		if a := c.again(); a.Verdict != stoatecho.Forward || a.Ejected != nil {
			t.Errorf("%+v", a)
		}
	}
	w.after(600 * ms)
	w.caller(pledge).open()
	var ejected *stoatroute.Upstream
	for _, c := range cold {
		if a := c.again(); a.Ejected != nil {
			ejected = a.Ejected
		}
	}
	if ejected == nil {
		t.Error("never ejected")
	}
}

// An upstream is cut off for seconds, and ejected for longer each time. It has been back for a
// while when the next request comes on an open flow: the flow lives, and must not be reset for
// evidence that is that old, nor for evidence of another flow that is new.
func TestOldEvidenceResetsNoFlow(t *testing.T) {
	w := newWorld(t)
	at1 := func() *caller {
		for {
			if c := w.caller(feed); c.open().ID == "i-1" {
				return c
			}
		}
	}
	one, two, late, idle := at1(), at1(), at1(), at1()
	eject := func() *stoatroute.Upstream {
		one.ask()
		two.ask()
		w.after(210 * ms)
		if a := one.again(); a.Ejected != nil {
			return a.Ejected
		}
		return two.again().Ejected
	}
	w.after(time.Second)
	if eject() == nil {
		t.Fatal("not ejected")
	}
	// The ejection ends, and the next one is twice as long.
	w.after(1100 * ms)
	if eject() == nil {
		t.Fatal("not ejected again")
	}
	w.after(1500 * ms)
	if a := late.ask(); a.Verdict != stoatecho.Forward {
		t.Errorf("reset for what was seen 1.5 s ago: %+v", a)
	}
	w.after(210 * ms)
	late.again()
	w.after(10 * ms)
	if a := idle.ask(); a.Verdict != stoatecho.Forward {
		t.Errorf("reset for what was seen on another flow: %+v", a)
	}
}

// This entry's link is full for half a second: it sends a large configuration on. Callers'
// packets wait in it, so that callers repeat themselves and no answer is acknowledged. Both
// upstreams live, and no flow there may be reset. Once one answers again and the other stays
// silent, it is the upstream.
func TestOwnLinkIsSlow(t *testing.T) {
	w := newWorld(t)
	at := map[stoatpaddle.UpstreamID]*caller{}
	for len(at) < 2 {
		c := w.caller(feed)
		at[c.open().ID] = c
	}
	w.after(time.Second)
	at["i-1"].ask()
	at["i-2"].ask()
	for _, gap := range []time.Duration{210 * ms, 400 * ms} {
		w.after(gap)
		for id, c := range at {
			if a := c.again(); a.Verdict != stoatecho.Forward || a.Ejected != nil {
				t.Errorf("%s is blamed for this entry's link: %+v", id, a)
			}
		}
	}
	at["i-2"].done()
	w.after(300 * ms)
	at["i-1"].again()
	w.after(300 * ms)
	if a := at["i-1"].again(); a.Ejected == nil {
		t.Errorf("one that stays silent while the other answers: %+v", a)
	}
}

// A server crashed and its machine refuses openings towards the callers, past this entry.
// A caller is back after 7 ms and has two tries left: it must not be sent there again. And
// the next callers avoid the upstream for longer than the opening is remembered.
func TestRefusedCallerComesBackAtOnce(t *testing.T) {
	w := newWorld(t)
	w.caller(upload).open() // a handshake takes 10 ms
	c := w.caller(pledge)
	dead := c.syn(0).Upstream
	w.after(10 * ms)
	again := *c
	again.tuple.Src = netip.AddrPortFrom(c.tuple.Src.Addr(), c.tuple.Src.Port()+1000)
	if a := again.syn(0); a.Verdict != stoatecho.Forward || a.Upstream.ID == dead.ID {
		t.Errorf("%+v", a)
	}
	w.after(300 * ms)
	for range 6 {
		if up := w.caller(pledge).open(); up.ID == dead.ID {
			t.Error("it gets flows again after", w.now.Sub(start))
		}
	}
	w.after(400 * ms)
	got := map[stoatpaddle.UpstreamID]int{}
	for range 6 {
		got[w.caller(pledge).open().ID]++
	}
	if got[dead.ID] == 0 {
		t.Error("it is never tried again", got)
	}
}

// Callers far away take 120 ms for a handshake. That is no silence, once it is known.
func TestDistantCallersAreNoSilence(t *testing.T) {
	w := newWorld(t)
	got := map[stoatpaddle.DataCentreID]int{}
	for range 20 {
		c := w.caller(pledge)
		a := c.syn(0)
		got[a.Upstream.DataCentre]++
		c.cookie = a.Upstream.Key
		w.after(120 * ms)
		c.send(stoatpacket.Packet{Ack: 1})
		c.send(stoatpacket.Packet{Ends: true})
	}
	for range 6 {
		got[w.caller(pledge).syn(0).Upstream.DataCentre]++
		w.after(20 * ms)
	}
	if got["there"] > 0 {
		t.Error(got)
	}
}

// An answer takes longer than its route's objective: the log can say so, with what else the
// upstream had to do.
func TestLateAnswerIsSaid(t *testing.T) {
	w := newWorld(t)
	w.rev++
	w.book.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: feed, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}, Objective: 200 * ms},
	}}, w.rev)
	c := w.caller(feed)
	c.open()
	c.ask()
	w.after(199 * ms)
	if a := c.done(); a.Late || a.AnswerTime != 199*ms {
		t.Errorf("%+v", a)
	}
	c.ask()
	w.after(250 * ms)
	if a := c.done(); !a.Late || a.AnswerTime != 250*ms || a.InProgress != 0 {
		t.Errorf("%+v", a)
	}
	if s := w.e.Stats(); s.Answered != 2 || s.Late != 1 {
		t.Errorf("%+v", s)
	}
	c.ask()
	for _, x := range w.e.UpstreamStates(w.now) {
		if x.Upstream == c.cookie && (x.PendingRequests != 1 || x.Flows != 1 || x.MeanAnswer < 199*ms || x.Ejected) {
			t.Errorf("%+v", x)
		}
	}
}

// Callers repeat a packet that was lost while their upstream answers others: no ejection.
func TestLossIsNoDeath(t *testing.T) {
	w := newWorld(t)
	var list []*caller
	for len(list) < 4 {
		if c := w.caller(feed); c.open().ID == "i-1" {
			list = append(list, c)
		}
	}
	for range 20 {
		for _, c := range list[:3] {
			c.ask()
		}
		w.after(100 * ms)
		list[3].ask()
		w.after(100 * ms)
		list[3].done()
		for _, c := range list[:3] {
			if a := c.again(); a.Ejected != nil || a.Verdict != stoatecho.Forward {
				t.Fatalf("%+v", a)
			}
			c.done()
		}
	}
}

// All upstreams of the data centre give no sign: flows go to the other one. If none gives a
// sign anywhere, the fault is this entry's, and flows go on to the least bad.
func TestEverybodySilent(t *testing.T) {
	w := newWorld(t)
	w.caller(upload).open() // tells how far callers are
	for _, want := range []string{"here", "here", "there", "any"} {
		c := w.caller(pledge)
		a := c.syn(0)
		if a.Verdict != stoatecho.Forward || want != "any" && string(a.Upstream.DataCentre) != want {
			t.Errorf("%+v, expected %s", a, want)
		}
		w.after(70 * ms)
	}
}

// The fabric gives half of the flows to an entry that joined. Their requests were under way
// here and end there; if they counted as load for long, new flows would flee to another
// data centre.
func TestFlowsThatMoveAwayStopCounting(t *testing.T) {
	w := newWorld(t)
	for range 30 {
		c := w.caller(feed)
		c.open()
		c.ask()
	}
	w.after(1100 * ms)
	for range 10 {
		c := w.caller(feed)
		if up := c.open(); up.DataCentre != "here" {
			t.Error(up.ID)
		}
		c.ask()
		w.after(30 * ms)
		c.done()
	}
}

// An upstream is five times slower than its neighbour: it gets fewer of the new flows.
func TestSlowUpstreamGetsLess(t *testing.T) {
	w := newWorld(t)
	got := map[stoatpaddle.UpstreamID]int{}
	for range 60 {
		c := w.caller(pledge)
		up := c.open()
		got[up.ID]++
		c.ask()
		took := 40 * ms
		if up.ID == "i-1" {
			took = 300 * ms
		}
		w.after(took)
		c.done()
		c.send(stoatpacket.Packet{Ends: true})
	}
	if got["i-1"]*3 > got["i-2"] {
		t.Error(got)
	}
}

// A burst fills both upstreams here: the flow that finds them full goes to the other data
// centre, which is idle, and home again when the burst is over.
func TestBurstSpillsAndComesHome(t *testing.T) {
	w := newWorld(t)
	var list []*caller
	away := 0
	for range 12 {
		c := w.caller(pledge)
		if c.open().DataCentre == "there" {
			away++
		}
		c.ask()
		list = append(list, c)
	}
	if away == 0 || away > 5 {
		t.Error(away, "of 12 went away")
	}
	for _, c := range list {
		c.done()
		c.send(stoatpacket.Packet{Ends: true})
	}
	if up := w.caller(pledge).open(); up.DataCentre != "here" {
		t.Error(up.ID)
	}
}

// The cap on an upstream's flows holds; when all are full, the caller is told at once.
func TestCap(t *testing.T) {
	w := newWorld(t)
	w.rev++
	w.book.ApplyDeclaration(stoatpaddle.Declaration{
		Version: w.rev, Caps: map[stoatpaddle.ServiceID]int{"app": 2},
		Routes: []stoatpaddle.Route{{Listen: feed, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}},
	}, w.rev)
	for range 6 {
		w.caller(feed).open()
	}
	wantReset(t, w.caller(feed).syn(0), stoatpacket.DropNoUpstream)
}

// A flood of openings and of forged cookies must not grow the memory without bound.
func TestFloodIsBounded(t *testing.T) {
	w := newWorld(t)
	w.e = stoatecho.New(stoatecho.Config{DataCentre: "here", Start: w.now.Add(-time.Hour), MaxFlows: 100, Seed: 1})
	for i := range 5000 {
		w.caller(feed).syn(0)
		c := w.caller(feed)
		c.cookie = stoatpaddle.UpstreamKey(i + 1000)
		c.ask()
	}
	if n := w.e.Stats().Flows; n > 100 {
		t.Error(n, "flows")
	}
	w.after(time.Minute)
	w.caller(feed).syn(0)
	if n := w.e.Stats().Flows; n > 1 {
		t.Error(n, "flows after a minute")
	}
}
