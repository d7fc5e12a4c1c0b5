package stoatcall

import (
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// overload lets a handler decide about calls to full upstreams, on a virtual clock and without a network.
type overload struct {
	h           *Handler
	now         time.Time
	view        *stoatview.View
	room        float64 // calls that the upstreams take now
	unreachable bool
	due         map[string]float64 // calls, by host
	refused     map[string]int     // calls that gave way, by host
	served      map[string]int
	events      map[stoatevent.Number]int
}

const (
	overloadCapacity = 200 // calls a second
	overloadQueue    = 10  // calls
)

func newOverload(services ...stoatpaddle.Service) *overload {
	o := &overload{now: time.Unix(1, 0), due: map[string]float64{}}
	o.declare(services...)
	o.restart()
	return o
}

// Emit implements stoatevent.Sink.
func (o *overload) Emit(e *stoatevent.Definition, _ ...stoatevent.Field) { o.events[e.Number]++ }

// declare replaces the contract.
func (o *overload) declare(services ...stoatpaddle.Service) {
	c := stoatpaddle.Contract{Customer: "sawt", Limits: stoatpaddle.Limits{Calls: 1000, CallRate: 100_000}, Services: services}
	o.view = stoatview.Next(o.view, o.now, stoatview.Input{Self: "e", Contracts: []stoatpaddle.Contract{c}})
}

// restart replaces the handler by one without evidence.
func (o *overload) restart() {
	o.h = New(Config{View: func() *stoatview.View { return o.view }, Clock: func() time.Time { return o.now }, Seed: 1, Events: o})
	o.clearCounts()
}

func (o *overload) clearCounts() {
	o.refused, o.served, o.events = map[string]int{}, map[string]int{}, map[stoatevent.Number]int{}
}

// run lets calls arrive at the rates a second, by host.
func (o *overload) run(d time.Duration, rates map[string]float64) {
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(modelStep) {
		o.room = min(overloadQueue, o.room+overloadCapacity*modelStep.Seconds())
		for _, s := range o.view.Services {
			o.due[s.Host] += rates[s.Host] * modelStep.Seconds()
			for ; o.due[s.Host] >= 1; o.due[s.Host]-- {
				o.call(s)
			}
		}
	}
}

func (o *overload) call(svc *stoatview.Service) {
	t := o.h.begin(svc)
	for range maxAttempts {
		u := o.h.acquireUpstream(t)
		if u == nil {
			break
		}
		t.tried[u.Key] = true
		res, err := o.attempt()
		o.h.recordAttempt(t, u, res, err)
		o.h.releaseUpstream(slotOf(svc, u))
		if err == nil && !refusedByUpstream(res) {
			o.served[svc.Host]++
			return
		}
	}
	o.h.recordNoRoom(t)
	if o.h.refusalOf(t).rule == RuleLevel {
		o.refused[svc.Host]++
	}
}

// attempt is what an upstream makes of an attempt.
func (o *overload) attempt() (*http.Response, error) {
	if o.unreachable {
		return nil, syscall.ECONNREFUSED
	}
	res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	if o.room < 1 {
		res.StatusCode = http.StatusServiceUnavailable
		res.Header.Set(HeaderNotRun, "1")
		return res, nil
	}
	o.room--
	return res, nil
}

func sharedService(id stoatpaddle.ServiceID, priority int, host byte) stoatpaddle.Service {
	return stoatpaddle.Service{
		ID: id, Kind: stoatpaddle.KindCall, Host: string(id), Priority: priority, HasPriority: true,
		Upstreams: []stoatpaddle.Upstream{{
			ID: stoatpaddle.UpstreamID(id), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host}), 80), Weight: 1, Slots: 1000,
		}},
	}
}

var overloadRates = map[string]float64{"app": 80, "batch": 1000}

// startOverload returns an overload in which calls of batch give way to those of app.
func startOverload(t *testing.T) *overload {
	o := newOverload(sharedService("app", 0, 1), sharedService("batch", 1, 1))
	o.run(2*time.Second, overloadRates)
	if o.refused["app"] > 0 || o.refused["batch"] == 0 || o.events[EventSheddingBegan.Number] != 1 {
		t.Fatal("refused:", o.refused, "events:", o.events)
	}
	return o
}

// A contract exchanges the priorities while calls are refused. The service that is the most urgent from then on would
// go on giving way by the evidence of before, or the other one would not give way.
func TestPrioritiesAreExchangedUnderLoad(t *testing.T) {
	o := startOverload(t)
	o.declare(sharedService("app", 1, 1), sharedService("batch", 0, 1))
	o.clearCounts()
	o.run(time.Second, overloadRates)
	if o.refused["batch"] > 0 || o.refused["app"] == 0 {
		t.Error("refused:", o.refused)
	}
}

// A contract makes both services equally urgent, or adds a level between them, while calls are refused. Calls of the
// most urgent level would give way by the evidence of before.
func TestLevelsChangeUnderLoad(t *testing.T) {
	o := startOverload(t)
	o.declare(sharedService("app", 0, 1), sharedService("batch", 0, 1))
	o.clearCounts()
	o.run(4*time.Second, overloadRates)
	if len(o.refused) > 0 {
		t.Error("calls of one level gave way:", o.refused)
	}
	if o.events[EventSheddingEnded.Number] != 1 {
		t.Error("the end is not logged:", o.events)
	}
	o.declare(sharedService("app", 0, 1), sharedService("batch", 7, 1), sharedService("mid", 3, 1))
	o.clearCounts()
	o.run(2*time.Second, map[string]float64{"app": 80, "mid": 60, "batch": 1000})
	if o.refused["app"] > 0 || o.refused["batch"] == 0 || o.refused["mid"]*1000 > o.refused["batch"]*60 {
		t.Error("refused:", o.refused)
	}
}

// A contract gives the less urgent service an upstream of its own while its calls are refused. They would go on giving
// way to calls at other upstreams, or keep slots that they took before.
func TestSharingEndsUnderLoad(t *testing.T) {
	o := startOverload(t)
	before := o.view.Services[1]
	held := &attempts{service: before, tried: map[stoatpaddle.UpstreamKey]bool{}}
	u := o.h.acquireUpstream(held)
	o.declare(sharedService("app", 0, 1), sharedService("batch", 1, 2))
	o.clearCounts()
	o.run(time.Second, overloadRates)
	if len(o.refused) > 0 {
		t.Error("refused:", o.refused)
	}
	o.h.releaseUpstream(slotOf(before, u))
	if len(o.h.openByUpstream) > 0 {
		t.Error("slots are kept:", o.h.openByUpstream)
	}
}

// An entry restarts during a burst. Without evidence it must refuse nothing, but it must not leave the urgent calls
// without room for the rest of the burst either.
func TestRestartDuringBurst(t *testing.T) {
	o := startOverload(t)
	o.restart()
	for !o.rejected() {
		o.run(modelStep, overloadRates)
		if len(o.refused) > 0 {
			t.Fatal("refused without evidence:", o.refused)
		}
	}
	o.run(time.Second, overloadRates)
	if o.refused["app"] > 0 || o.refused["batch"] == 0 || o.events[EventSheddingBegan.Number] != 1 {
		t.Error("refused:", o.refused, "events:", o.events)
	}
	o.clearCounts()
	o.run(time.Second, overloadRates)
	const gain = 0.06 // by which urgent calls are served better than without levels
	unlimited := overloadCapacity / (overloadRates["app"] + overloadRates["batch"])
	if got := float64(o.served["app"]) / overloadRates["app"]; got < unlimited+gain {
		t.Errorf("%.2f of the urgent calls are served", got)
	}
}

// Upstreams that cannot be reached have rejected nothing. Calls that fail for it must not make others give way.
func TestUnreachableUpstreamsAreNotFull(t *testing.T) {
	o := newOverload(sharedService("app", 0, 1), sharedService("batch", 1, 1))
	o.unreachable = true
	o.run(2*time.Second, overloadRates)
	if len(o.refused) > 0 || o.rejected() {
		t.Error("refused:", o.refused)
	}
}

// rejected reports whether the handler has seen a rejection.
func (o *overload) rejected() bool {
	states, _ := o.h.states()
	return len(states) == 1 && states[0].rejected > 0
}
