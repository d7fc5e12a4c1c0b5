package stoatedge_test

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatedge"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// fakeLoads stands for the part of the engine that measures loads and is told those of others.
type fakeLoads struct {
	mu     sync.Mutex
	own    []stoatload.GroupLoad
	sum    stoatload.CentreLoad
	fresh  bool
	others []stoatload.CentreLoad
	rounds int
}

func (f *fakeLoads) Loads(time.Time) []stoatload.GroupLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds++
	return f.own
}

func (f *fakeLoads) SetSharedLoads(_ time.Time, own stoatload.CentreLoad, fresh bool, others []stoatload.CentreLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sum, f.fresh, f.others = own, fresh, others
}

func (f *fakeLoads) set(own []stoatload.GroupLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own = own
}

// shared returns the sum over the data centre: how many entries it covers, and the answers a second.
func (f *fakeLoads) shared() (entries int, answered float64, fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.sum.Find("app"); g != nil {
		entries, answered = g.Entries, g.Answered
	}
	return entries, answered, f.fresh
}

// other returns the answers a second of another data centre.
func (f *fakeLoads) other(dc stoatpaddle.DataCentreID) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.others {
		if g := f.others[i].Find("app"); f.others[i].DataCentre == dc && g != nil {
			return g.Answered
		}
	}
	return 0
}

func (f *fakeLoads) round() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rounds
}

// loadOf returns the load of an entry; rejected is the share of the answers.
func loadOf(dc stoatpaddle.DataCentreID, answered, rejected float64) []stoatload.GroupLoad {
	return []stoatload.GroupLoad{{
		Group: stoatload.GroupID{Service: "app", DataCentre: dc}, Entries: 1, Answered: answered, Rejected: answered * rejected, InProgress: 2,
		AnswerTime: 50 * time.Millisecond, Unqueued: 20 * time.Millisecond, Levels: []stoatload.LevelLoad{{Arrived: answered, Admitted: answered}},
	}}
}

// loadEntry is an entry with a replaced engine.
type loadEntry struct {
	*stoatedge.Edge
	set   stoatsetting.Settings
	loads *fakeLoads
}

// startLoads starts an entry in the data centre that answers so many requests a second. Without seeds, it is a seed
// itself.
func (r *rig) startLoads(host string, dc stoatpaddle.DataCentreID, own []stoatload.GroupLoad, seeds ...netip.AddrPort) loadEntry {
	r.t.Helper()
	set := r.settings(host, seeds...)
	set.DataCentre = dc
	if len(seeds) == 0 {
		set.Seeds = []netip.AddrPort{set.AdminAddr}
	}
	return r.startLoadsWith(set, own)
}

func (r *rig) startLoadsWith(set stoatsetting.Settings, own []stoatload.GroupLoad) loadEntry {
	r.t.Helper()
	x := loadEntry{set: set, loads: &fakeLoads{own: own}}
	x.Edge, _ = r.startConfigured(stoatedge.Config{Settings: set}.WithLoads(x.loads))
	r.wait("the entry is ready", func() bool { return isReady(set) })
	return x
}

// startChain starts three entries, each the parent of the next one.
func (r *rig) startChain() [3]loadEntry {
	r.t.Helper()
	seed := r.startLoads("127.0.0.31", "here", loadOf("here", 10, 0.1))
	b := r.startLoads("127.0.0.32", "here", loadOf("here", 20, 0.1), seed.set.AdminAddr)
	r.wait("the second has a parent", func() bool { return depth(b.Edge) == 1 })
	c := r.startLoads("127.0.0.33", "here", loadOf("here", 40, 0.1), b.set.AdminAddr)
	r.wait("the third gets updates through the second", func() bool { return depth(c.Edge) == 2 })
	return [3]loadEntry{seed, b, c}
}

func hasSum(x loadEntry, entries int, answered float64) func() bool {
	return func() bool {
		n, a, fresh := x.loads.shared()
		return fresh && n == entries && a == answered
	}
}

// Guards against entries that decide by their own load while others of the data centre are known: the sum of three
// entries, one below the other, arrives at all of them, and follows a change of one.
func TestLoadsReachAll(t *testing.T) {
	r := newRig(t)
	chain := r.startChain()
	for _, x := range chain {
		r.wait("the sum of the three arrives", hasSum(x, 3, 70))
	}
	chain[2].loads.set(loadOf("here", 400, 0))
	for _, x := range chain {
		r.wait("the changed sum arrives", hasSum(x, 3, 430))
	}
}

// Guards against decisions by a sum that nobody renews: when the root is gone, the sum expires at the entries below it,
// and they keep working.
func TestSumExpiresWithoutParent(t *testing.T) {
	r := newRig(t)
	chain := r.startChain()
	for _, x := range chain {
		r.wait("the sum arrives", hasSum(x, 3, 70))
	}
	chain[0].Kill()
	for _, x := range chain[1:] {
		r.wait("the sum expires", func() bool { _, _, fresh := x.loads.shared(); return !fresh })
	}
	before := chain[2].loads.round()
	r.wait("some rounds pass", func() bool { return chain[2].loads.round() > before+10 })
	for _, x := range chain[1:] {
		if n, a, fresh := x.loads.shared(); fresh {
			t.Error("a sum without a root:", n, a)
		}
	}
}

// Guards against an entry that counts on for seconds after it was killed: its parent's sum loses it when its connection
// ends.
func TestKilledChildIsRemoved(t *testing.T) {
	r := newRig(t)
	chain := r.startChain()
	r.wait("the sum arrives", hasSum(chain[0], 3, 70))
	chain[2].Kill()
	for _, x := range chain[:2] {
		r.wait("the sum has only the other two", hasSum(x, 2, 30))
	}
}

// loadProxy passes HTTP requests on to an entry and counts the posts of loads. If it refuses, it answers them as an
// entry of the previous release does.
type loadProxy struct {
	addr    netip.AddrPort
	posts   atomic.Int64
	refuses bool
}

func (r *rig) loadProxy(to netip.AddrPort, refuses bool) *loadProxy {
	p := &loadProxy{refuses: refuses}
	target := &url.URL{Scheme: "http", Host: to.String()}
	forward := &httputil.ReverseProxy{Rewrite: func(x *httputil.ProxyRequest) { x.SetURL(target) }, FlushInterval: -1}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/v1/load" {
			p.posts.Add(1)
			if p.refuses {
				http.NotFound(w, q)
				return
			}
		}
		forward.ServeHTTP(w, q)
	}))
	r.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	p.addr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return p
}

// Guards against messages without use: one level, two entries and no rejection, and nothing is posted, nor do the
// messages of the parent contain loads. When the child sees rejections, both begin.
func TestNoLoadsWithoutNeed(t *testing.T) {
	r := newRig(t)
	seed := r.startLoads("127.0.0.31", "here", loadOf("here", 10, 0))
	p := r.loadProxy(seed.set.AdminAddr, false)
	b := r.startLoads("127.0.0.32", "here", loadOf("here", 20, 0), p.addr)
	r.wait("the second has a parent", func() bool { return depth(b.Edge) == 1 })
	heads := r.readHeads(seed.set.AdminAddr, "here")
	r.wait("some rounds pass", func() bool { return b.loads.round() > 15 && seed.loads.round() > 15 })
	for range 5 {
		if h := heads(); len(h.CentreLoad) != 0 || len(h.OtherLoads) != 0 {
			t.Errorf("loads in a message: %x %x", h.CentreLoad, h.OtherLoads)
		}
	}
	if n := p.posts.Load(); n != 0 {
		t.Error(n, "loads are posted")
	}
	b.loads.set(loadOf("here", 20, 0.1))
	r.wait("loads are posted", func() bool { return p.posts.Load() > 0 })
	r.wait("loads are in the messages", func() bool { return len(heads().CentreLoad) > 0 })
	b.loads.set(loadOf("here", 20, 0))
	r.wait("the messages contain no loads again", func() bool { return len(heads().CentreLoad) == 0 })
}

// readHeads becomes a child of the entry, and returns a function that reads its next message.
func (r *rig) readHeads(from netip.AddrPort, dc stoatpaddle.DataCentreID) func() *stoatrelay.Head {
	r.t.Helper()
	res, err := http.Get("http://" + from.String() + "/v1/news?from=127.0.0.1:9&known=0&within=0&centre=" + string(dc))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = res.Body.Close() })
	dec := msgpack.NewDecoder(bufio.NewReader(res.Body))
	return func() *stoatrelay.Head {
		r.t.Helper()
		h, _, err := stoatrelay.Read(dec)
		if err != nil {
			r.t.Fatal(err)
		}
		return h
	}
}

// Guards against an entry that keeps posting to a parent of the previous release, and against one that cannot work
// below it.
func TestParentOfPreviousRelease(t *testing.T) {
	r := newRig(t)
	seed := r.startLoads("127.0.0.31", "here", loadOf("here", 10, 0))
	p := r.loadProxy(seed.set.AdminAddr, true)
	b := r.startLoads("127.0.0.32", "here", loadOf("here", 20, 0.1), p.addr)
	r.wait("the load is posted once", func() bool { return p.posts.Load() > 0 })
	before := b.loads.round()
	r.wait("some rounds pass", func() bool { return b.loads.round() > before+10 })
	if n := p.posts.Load(); n != 1 {
		t.Error(n, "posts to a parent that takes none")
	}
	if _, _, fresh := b.loads.shared(); fresh || depth(b.Edge) != 1 {
		t.Error("a sum without a parent that adds up, or no parent:", depth(b.Edge))
	}
}

// Guards against loads that don't cross data centres: two seeds tell each other, their children learn both, and an
// entry whose parent is in another data centre is told and heard too, although it needs nothing itself.
func TestLoadsBetweenDataCentres(t *testing.T) {
	r := newRig(t)
	setA, setB := r.settings("127.0.0.31"), r.settings("127.0.0.41")
	setA.Seeds = []netip.AddrPort{setA.AdminAddr, setB.AdminAddr}
	setB.Seeds = setA.Seeds
	setB.DataCentre = "there"
	a := r.startLoadsWith(setA, loadOf("here", 10, 0.1))
	b := r.startLoadsWith(setB, loadOf("there", 20, 0))
	c := r.startLoads("127.0.0.32", "here", loadOf("here", 1, 0), setA.AdminAddr)
	d := r.startLoads("127.0.0.51", "third", loadOf("third", 5, 0), setA.AdminAddr)
	for name, x := range map[string]loadEntry{"the seed": a, "its child": c} {
		r.wait("the loads of other data centres arrive at "+name, func() bool { return x.loads.other("there") == 20 && x.loads.other("third") == 5 })
		r.wait("their own sum arrives at "+name, hasSum(x, 2, 11))
	}
	for name, x := range map[string]loadEntry{"the other seed": b, "the one below another data centre": d} {
		r.wait("the load of the first data centre arrives at "+name, func() bool { return x.loads.other("here") == 11 })
	}
	r.wait("the load of the third data centre arrives at the other seed", func() bool { return b.loads.other("third") == 5 })
	b.Kill()
	r.wait("the load of a data centre that is gone expires", func() bool { return a.loads.other("there") == 0 && c.loads.other("there") == 0 })
}

// Guards against two roots of one data centre that each take their own tree for all of it.
func TestTwoRootsOfOneDataCentre(t *testing.T) {
	r := newRig(t)
	setA, setB := r.settings("127.0.0.31"), r.settings("127.0.0.32")
	setA.Seeds = []netip.AddrPort{setA.AdminAddr, setB.AdminAddr}
	setB.Seeds = setA.Seeds
	a := r.startLoadsWith(setA, loadOf("here", 10, 0.1))
	b := r.startLoadsWith(setB, loadOf("here", 20, 0.1))
	c := r.startLoads("127.0.0.33", "here", loadOf("here", 40, 0), setB.AdminAddr)
	for _, x := range []loadEntry{a, b, c} {
		r.wait("the sum over both trees arrives", hasSum(x, 3, 70))
	}
}

// Guards against loads from entries that are no children, and against faulty ones: each is refused and none counts.
func TestForeignLoadsAreRefused(t *testing.T) {
	r := newRig(t)
	seed := r.startLoads("127.0.0.31", "here", loadOf("here", 10, 0.1))
	r.wait("the seed adds up", hasSum(seed, 1, 10))
	report, err := stoatload.EncodeReport(time.Now(), stoatload.Report{Wanted: true, Groups: loadOf("here", 1000, 1)})
	if err != nil {
		t.Fatal(err)
	}
	exchange, err := stoatload.EncodeExchange(time.Now(), stoatload.Exchange{DataCentre: "here"})
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		query string
		body  []byte
		want  int
	}{
		"not a child":         {"from=127.0.0.1:9", report, http.StatusConflict},
		"neither seed":        {"from=127.0.0.1:9&centre=here", exchange, http.StatusConflict},
		"other data centre":   {"from=127.0.0.1:9&centre=there", exchange, http.StatusBadRequest},
		"no address":          {"from=x", report, http.StatusBadRequest},
		"cut short":           {"from=127.0.0.1:9", report[:5], http.StatusBadRequest},
		"too long":            {"from=127.0.0.1:9", make([]byte, stoatload.MaxMessageBytes+5), http.StatusBadRequest},
		"exchange cut short":  {"from=127.0.0.1:9&centre=here", exchange[:1], http.StatusBadRequest},
		"no message whatever": {"from=127.0.0.1:9", nil, http.StatusBadRequest},
	} {
		res, err := http.Post("http://"+seed.set.AdminAddr.String()+"/v1/load?"+x.query, "", bytes.NewReader(x.body))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != x.want {
			t.Errorf("%s: %s", name, res.Status)
		}
	}
	before := seed.loads.round()
	r.wait("a round passes", func() bool { return seed.loads.round() > before+1 })
	if n, answered, _ := seed.loads.shared(); n != 1 || answered != 10 {
		t.Error(n, answered)
	}
}
