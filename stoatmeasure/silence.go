package stoatmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// SilenceConfig configures the experiment on how soon the entries of a data centre detect upstreams that answer
// nobody, on an echo fabric.
type SilenceConfig struct {
	Entries      int
	Upstreams    int
	RequestRate  float64 // requests per second and upstream
	FailingShare float64 // share of the upstreams that fail during the fault
	Seed         uint64
}

// Sharing is how the entries of the data centre share what they observe.
type Sharing string

// The kinds of sharing that are compared.
const (
	Isolated   Sharing = "each for itself"
	Aggregated Sharing = "product: along the relay tree"
	Instant    Sharing = "known at once" // the bound: the same decisions without any delay
)

// Fault is what goes wrong in the experiment.
type Fault string

// The faults.
const (
	Silenced    Fault = "silent"    // a share of the upstreams answers nothing
	Refusing    Fault = "refuse"    // the same, and their machines reset the callers' flows
	Lossy       Fault = "lossy"     // one packet in thirty is lost, and no upstream fails
	EntryCutOff Fault = "entry cut" // no packet that one entry sends reaches an upstream
)

const (
	faultStart         = 3 * time.Second // until then, entries learn the usual answer times
	faultDuration      = 2 * time.Second // until registrations would expire
	countedAfterFault  = 2 * time.Second // how long requests still count after the fault
	silenceOneWayDelay = time.Millisecond
	silenceServiceTime = 40 * time.Millisecond // of a request, mean
	silenceSlots       = 2
	silenceQueue       = 8
	silenceObjective   = 300 * time.Millisecond  // the latency objective of the routes
	silenceTimeout     = 2500 * time.Millisecond // after which a caller gives up on a request
	silenceLossRate    = 1.0 / 30
	longFlowShare      = 0.73                  // share of the requests that come on long flows; each other one has its own flow
	longFlowPause      = time.Second           // mean, from an answer on a long flow to its next request
	recoveryGrace      = time.Second           // how long an upstream that has recovered may still be taken for silent
	probeInterval      = 20 * time.Millisecond // between checks of which entries avoid which upstreams
)

// SilenceResult is the outcome of one kind of sharing under one fault.
type SilenceResult struct {
	Sharing  Sharing
	Fault    Fault
	Requests int
	Late     int // answered after the latency objective
	// LateOnOpenFlows counts those of Late on flows that were already open: an open flow stays at its upstream
	// whatever the entries know.
	LateOnOpenFlows int
	Failed          int
	// WrongEjections counts ejections of healthy upstreams, once for each entry that ejects.
	WrongEjections int
	// DetectionTime is the time from the start of the fault until nine of ten entries avoided a failing upstream,
	// averaged over these upstreams. One that fewer entries avoided counts with the whole duration of the
	// fault.
	DetectionTime time.Duration
	ByteRate      float64 // bytes of reports and sums that an entry sends per second, mean
}

// silenceModel is one data centre in virtual time.
type silenceModel struct {
	cfg       SilenceConfig
	sharing   Sharing
	fault     Fault
	q         queue
	rnd       *rand.Rand
	routes    *stoatroute.Builder
	upstreams []*silenceUpstream
	entries   []*silenceEntry
	flows     map[stoatpacket.Tuple]*silenceFlow
	port      int
	bytes     int
	detected  map[int]time.Duration // from the start of the fault until nine of ten entries avoided the upstream, by its index
	result    SilenceResult
}

// silenceEpoch is the start of the virtual time.
var silenceEpoch = time.Unix(1000, 0)

func (m *silenceModel) now() time.Time { return silenceEpoch.Add(m.q.now) }

// counted reports whether a request that was first tried at that time counts.
func counted(first time.Duration) bool {
	return first >= faultStart && first < faultStart+faultDuration+countedAfterFault
}

// faultActive reports whether the fault is active now.
func (m *silenceModel) faultActive() bool {
	return m.q.now >= faultStart && m.q.now < faultStart+faultDuration
}

var silenceListen = [2]netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:8443"), netip.MustParseAddrPort("198.18.0.1:8080")}

// RunSilence simulates one kind of sharing under one fault.
func RunSilence(ctx context.Context, cfg SilenceConfig, sharing Sharing, fault Fault) (SilenceResult, error) {
	m := &silenceModel{
		cfg: cfg, sharing: sharing, fault: fault, rnd: rand.New(rand.NewPCG(cfg.Seed, 11)),
		routes: stoatroute.NewBuilder(stoatroute.Config{}),
		flows:  map[stoatpacket.Tuple]*silenceFlow{}, detected: map[int]time.Duration{},
		result: SilenceResult{Sharing: sharing, Fault: fault},
	}
	m.declareRoutes()
	for i := range cfg.Entries {
		m.entries = append(m.entries, newSilenceEntry(m, i))
	}
	m.offerLoad()
	m.q.after(faultStart, m.probe)
	for at := faultDuration / 10; at <= faultStart+faultDuration+countedAfterFault+silenceTimeout; at += faultDuration / 10 {
		if err := ctx.Err(); err != nil {
			return SilenceResult{}, err
		}
		m.q.runUntil(at)
	}
	return m.finish(), nil
}

// declareRoutes registers the upstreams, and two routes to their service.
func (m *silenceModel) declareRoutes() {
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	m.routes.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: silenceListen[0], Backends: to, Idempotent: true, TargetLatency: silenceObjective, Priority: 2},
		{Listen: silenceListen[1], Backends: to, TargetLatency: silenceObjective, Priority: 1},
	}}, 1)
	names := map[stoatpaddle.UpstreamID]bool{}
	failing := int(m.cfg.FailingShare * float64(m.cfg.Upstreams))
	for i := range m.cfg.Upstreams {
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		names[id] = true
		m.routes.Register(m.now(), stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "here", Slots: silenceSlots, CreateRevision: stoatpaddle.Version(i + 2),
		}, stoatpaddle.Version(i+2))
		m.upstreams = append(m.upstreams, &silenceUpstream{m: m, fails: i < failing, lastRequest: map[stoatpacket.Tuple]uint32{}})
	}
	m.routes.ApplyList(m.now(), names, latest, false)
}

// fails reports whether an upstream answers nobody now.
func (m *silenceModel) fails(i int) bool {
	return m.upstreams[i].fails && m.faultActive() && (m.fault == Silenced || m.fault == Refusing)
}

// probe records when nine of ten entries avoid each failing upstream.
func (m *silenceModel) probe() {
	if !m.faultActive() {
		return
	}
	avoid := map[stoatpaddle.UpstreamKey]int{}
	for _, e := range m.entries {
		for _, p := range e.engine.UpstreamStates(m.now()) {
			if p.Ejected || p.Avoided {
				avoid[p.Upstream]++
			}
		}
	}
	for i := range m.upstreams {
		if _, seen := m.detected[i]; !seen && m.fails(i) && avoid[stoatroute.KeyOf(stoatpaddle.TargetID(i+1))]*10 >= 9*len(m.entries) {
			m.detected[i] = m.q.now - faultStart
		}
	}
	m.q.after(probeInterval, m.probe)
}

// finish computes the means and returns the outcome.
func (m *silenceModel) finish() SilenceResult {
	failing := 0
	for i, u := range m.upstreams {
		if !u.fails || m.fault != Silenced && m.fault != Refusing {
			continue
		}
		failing++
		if d, ok := m.detected[i]; ok {
			m.result.DetectionTime += d
		} else {
			m.result.DetectionTime += faultDuration
		}
	}
	if failing > 0 {
		m.result.DetectionTime /= time.Duration(failing)
	}
	m.result.ByteRate = float64(m.bytes) / m.q.now.Seconds() / float64(len(m.entries))
	return m.result
}

// countEjection counts an ejection at one entry as wrong unless the upstream fails.
func (m *silenceModel) countEjection(u *stoatroute.Upstream) {
	i := int(u.Target) - 1
	failing := m.upstreams[i].fails && (m.fault == Silenced || m.fault == Refusing)
	// Entries learn of a recovery only when they hear from the upstream again.
	if !failing || m.q.now < faultStart || m.q.now > faultStart+faultDuration+recoveryGrace {
		m.result.WrongEjections++
	}
}
