package stoatcall_test

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcall"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// eventList is a Sink that keeps the events.
type eventList struct {
	mu    sync.Mutex
	count map[stoatevent.Number]int
	text  []string // of each event: its number and its fields
}

// Emit implements stoatevent.Sink.
func (l *eventList) Emit(e *stoatevent.Definition, fields ...stoatevent.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[e.Number]++
	line := e.Number.String()
	for _, f := range fields {
		line += " " + f.Key + "=" + f.Value
	}
	l.text = append(l.text, line)
}

func (l *eventList) number(e *stoatevent.Definition) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[e.Number]
}

func (l *eventList) find(s string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.text {
		if strings.Contains(line, s) {
			return line
		}
	}
	return ""
}

// callService declares a call service with upstreams at the addresses; a negative priority declares none.
func callService(id stoatpaddle.ServiceID, priority, slots int, addrs ...netip.AddrPort) stoatpaddle.Service {
	s := stoatpaddle.Service{
		ID: id, Kind: stoatpaddle.KindCall, Host: string(id) + ".example", Priority: max(0, priority), HasPriority: priority >= 0,
	}
	for i, addr := range addrs {
		s.Upstreams = append(s.Upstreams, stoatpaddle.Upstream{
			ID: stoatpaddle.UpstreamID(string(id) + strconv.Itoa(i)), DataCentre: "ruwi", Addr: addr, Weight: 1, Slots: slots,
		})
	}
	return s
}

func callContract(customer stoatpaddle.CustomerID, services ...stoatpaddle.Service) stoatpaddle.Contract {
	return stoatpaddle.Contract{
		Customer: customer, Limits: stoatpaddle.Limits{Flows: 1, OpenRate: 1, Calls: 1000, CallRate: 100_000}, Services: services,
	}
}

func startGroup(t *testing.T, contracts ...stoatpaddle.Contract) (*stoatcall.Handler, *eventList, string) {
	v := stoatview.Next(nil, time.Unix(0, 0), stoatview.Input{Self: "e", Contracts: contracts})
	events := &eventList{count: map[stoatevent.Number]int{}}
	h := stoatcall.New(stoatcall.Config{
		View: func() *stoatview.View { return v }, Clock: time.Now, Seed: 1, Instance: "ruwi-1", Events: events,
	})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return h, events, srv.URL
}

// workers send calls one after the other to one service, with a pause after each.
type workers struct {
	group    errgroup.Group
	stop     atomic.Bool
	tries    int
	answered atomic.Int64
	failed   atomic.Int64 // calls of which each try was refused
	mu       sync.Mutex
	seconds  map[int]int // refusals by priority, by Retry-After
	call     string      // id of one of them
}

func startWorkers(n, tries int, pause time.Duration, url, host string) *workers {
	w := &workers{tries: tries, seconds: map[int]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	for range n {
		w.group.Go(func() error {
			defer client.CloseIdleConnections()
			for !w.stop.Load() {
				if err := w.request(client, url, host); err != nil {
					return err
				}
				time.Sleep(pause)
			}
			return nil
		})
	}
	return w
}

// request makes one call of up to w.tries tries, a few ms apart.
func (w *workers) request(client *http.Client, url, host string) error {
	for range w.tries {
		req, err := http.NewRequest(http.MethodGet, url+"/claim", nil)
		if err != nil {
			return err
		}
		req.Host = host
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return err
		}
		if res.StatusCode == http.StatusOK {
			w.answered.Add(1)
			return nil
		}
		w.countRefusal(res, body)
		time.Sleep(2 * time.Millisecond)
	}
	w.failed.Add(1)
	return nil
}

func (w *workers) countRefusal(res *http.Response, body []byte) {
	var problem struct{ Type, Instance string }
	_ = json.Unmarshal(body, &problem)
	if problem.Type != "urn:stoatpaddle:SP1307" {
		return
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seconds[seconds]++
	w.call = problem.Instance
}

func (w *workers) end(t *testing.T) {
	w.stop.Store(true)
	if err := w.group.Wait(); err != nil {
		t.Error(err)
	}
}

func (w *workers) share() float64 {
	answered := float64(w.answered.Load())
	return answered / max(1, answered+float64(w.failed.Load()))
}

// burstTime is how long more calls arrive than upstreams take.
const burstTime = 3 * time.Second

// runBurst sends few calls to one service and many to another, which share full upstreams.
func runBurst(t *testing.T, otherPriority int) (h *stoatcall.Handler, events *eventList, url string, urgent, other *workers) {
	var group errgroup.Group
	var addrs []netip.AddrPort
	for range 2 { // 4 slots of 40 ms each: 200 calls a second
		s, err := stoatfake.NewServer(&group, 4, 40*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		addrs = append(addrs, s.Addr())
	}
	// The entry may send more than the upstreams take, as if other entries used them too.
	h, events, url = startGroup(t, callContract("sawt", callService("app", 0, 100, addrs...), callService("batch", otherPriority, 100, addrs...)))
	urgent = startWorkers(8, 3, 100*time.Millisecond, url, "app.example")
	other = startWorkers(24, 1, 20*time.Millisecond, url, "batch.example")
	time.Sleep(burstTime)
	other.end(t)
	urgent.end(t)
	t.Logf("other priority %d: urgent %d answered, %d failed; other %d answered, %d failed, seconds %v",
		otherPriority, urgent.answered.Load(), urgent.failed.Load(), other.answered.Load(), other.failed.Load(), other.seconds)
	return h, events, url, urgent, other
}

// minGain is by how much more of the urgent calls have to be served than without levels.
const minGain = 0.06

// Two services of a customer share upstreams that are full. Urgent calls must never give way, must be served better than the less
// urgent ones and better than without levels. Less urgent ones are refused at once with a spread Retry-After, and
// within a second after the burst all are admitted.
func TestUrgentCallsAreServedWhenUpstreamsAreFull(t *testing.T) {
	_, events, _, before, _ := runBurst(t, 0)
	if events.number(stoatcall.EventSheddingBegan) > 0 {
		t.Error("calls of one level gave way")
	}
	h, events, url, urgent, burst := runBurst(t, 1)
	if urgent.share() < before.share()+minGain || urgent.share() <= burst.share() || len(urgent.seconds) > 0 {
		t.Errorf("urgent calls: %.3f served, before %.3f, others %.3f; gave way: %v", urgent.share(), before.share(), burst.share(), urgent.seconds)
	}
	checkSpread(t, burst.seconds)
	if h.Stats().RefusedBy[stoatcall.RuleLevel].Load() == 0 || events.number(stoatcall.EventSheddingBegan) != 1 {
		t.Error("shedding began", events.number(stoatcall.EventSheddingBegan), "times")
	}
	if strings.HasPrefix(burst.call, "urn:stoatpaddle:call:ruwi-1-") {
		if line := events.find("rule=level"); !strings.Contains(line, "priority=1") || !strings.Contains(line, "service=sawt/batch") {
			t.Error("the log does not name the rule:", line)
		}
	} else {
		t.Error("a refused call has no id:", burst.call)
	}
	var metrics strings.Builder
	h.WriteMetrics(&metrics)
	for _, name := range []string{`level_refused_total{group="sawt/app",priority="0"} 0` + "\n", `level_share{group="sawt/app",priority="1"}`, `group_budget{`} {
		if !strings.Contains(metrics.String(), "stoatpaddle_call_"+name) {
			t.Errorf("%q is not in the metrics: %s", name, metrics.String())
		}
	}
	checkRecovery(t, events, url)
}

// checkSpread checks that no two thirds of the callers that wait for several seconds return together.
func checkSpread(t *testing.T, seconds map[int]int) {
	several, most := 0, 0
	for s, n := range seconds {
		if s < 1 || s > 10 {
			t.Error("Retry-After:", s)
		}
		if s > 2 {
			several += n
			most = max(most, n)
		}
	}
	if several == 0 || 3*most > 2*several {
		t.Error("Retry-After is not spread:", maps.Clone(seconds))
	}
}

func checkRecovery(t *testing.T, events *eventList, url string) {
	time.Sleep(200 * time.Millisecond)
	both := []*workers{startWorkers(1, 1, 20*time.Millisecond, url, "app.example"), startWorkers(1, 1, 20*time.Millisecond, url, "batch.example")}
	time.Sleep(800 * time.Millisecond)
	failed := both[1].failed.Load()
	time.Sleep(500 * time.Millisecond)
	for _, w := range both {
		w.end(t)
	}
	if both[1].failed.Load() > failed || both[0].failed.Load() > 0 {
		t.Error("refused a second after the burst:", both[0].failed.Load(), both[1].failed.Load()-failed)
	}
	if events.number(stoatcall.EventSheddingEnded) != 1 {
		t.Error("shedding ended", events.number(stoatcall.EventSheddingEnded), "times")
	}
}

// Upstreams that cannot take anything are shared, but one that only the less urgent service has is idle. Its calls
// must be served there and not be refused.
func TestLessUrgentCallsUseTheirOwnUpstream(t *testing.T) {
	var group errgroup.Group
	full, err := stoatfake.NewServer(&group, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	own, err := stoatfake.NewServer(&group, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(full.Close)
	t.Cleanup(own.Close)
	h, events, url := startGroup(t, callContract("sawt", callService("app", 0, 100, full.Addr()), callService("batch", 1, 100, full.Addr(), own.Addr())))
	urgent := startWorkers(4, 1, 5*time.Millisecond, url, "app.example")
	other := startWorkers(4, 1, 5*time.Millisecond, url, "batch.example")
	time.Sleep(time.Second)
	urgent.end(t)
	other.end(t)
	if other.failed.Load() > 0 || h.Stats().RefusedBy[stoatcall.RuleLevel].Load() > 0 {
		t.Error("refused although an upstream is idle:", other.failed.Load())
	}
	if events.number(stoatcall.EventSheddingBegan) == 0 {
		t.Error("the shared upstream is not short of room, so that the test shows nothing")
	}
}

// A refused call can be traced from the id in its problem to the rule that decided.
func TestRefusedCallIsTraceable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().(*net.TCPAddr).AddrPort()
	_ = ln.Close()
	c := callContract("sawt", callService("app", -1, 3, closed))
	limited := callContract("barrilete", callService("batch", -1, 3, closed))
	limited.Limits.CallRate = 1
	h, events, url := startGroup(t, c, limited)
	for _, step := range []struct{ host, rule string }{
		{"unknown.example", "host"}, {"app.example", "room"}, {"batch.example", "room"}, {"batch.example", "rate"},
	} {
		req, _ := http.NewRequest(http.MethodGet, url, nil)
		req.Host = step.host
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var problem struct{ Instance string }
		_ = json.NewDecoder(res.Body).Decode(&problem)
		_ = res.Body.Close()
		id, ok := strings.CutPrefix(problem.Instance, "urn:stoatpaddle:call:")
		if line := events.find("call=" + id + " "); !ok || !strings.Contains(line, "rule="+step.rule+" ") {
			t.Errorf("%s: call %q is logged as %q", step.host, problem.Instance, line)
		}
	}
	if got := h.Stats().RefusedBy[stoatcall.RuleRoom].Load(); got != 2 {
		t.Error(got, "calls counted as refused for room")
	}
}
