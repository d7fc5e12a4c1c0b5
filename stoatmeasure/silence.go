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

// SilenceConfig configures the experiment on how soon a data centre notices upstreams that answer
// nobody, on a fabric that brings cookies back.
type SilenceConfig struct {
	Entries      int
	Upstreams    int
	RequestRate  float64 // requests a second and upstream
	FailingShare float64 // of the upstreams that fail
	Seed         uint64
}

// Sharing is what the entries of the data centre tell each other.
type Sharing string

// The ways that are compared.
const (
	Isolated   Sharing = "each for itself"
	Aggregated Sharing = "product: along the relay tree"
	Instant    Sharing = "known at once" // the bound: the same decisions without any delay
)

// Fault is what happens in the experiment.
type Fault string

// The troubles.
const (
	Silenced    Fault = "silent"    // a share of the upstreams answers nothing
	Refusing    Fault = "refuse"    // the same, and their machines refuse towards callers
	Lossy       Fault = "lossy"     // every thirtieth packet is lost, and no upstream fails
	EntryCutOff Fault = "entry cut" // nothing that one entry sends reaches an upstream
)

const (
	silenceFrom  = 3 * time.Second // when the trouble begins, in the calm before entries learn usual times
	silenceLast  = 2 * time.Second // how long it lasts: until registrations would lapse
	silenceAfter = 2 * time.Second // how long requests count after it
	silenceTrip  = time.Millisecond
	silenceWork  = 40 * time.Millisecond // of a request, mean
	silenceSlots = 2
	silenceQueue = 8
	silenceGoal  = 300 * time.Millisecond // the objective
	silenceLimit = 2500 * time.Millisecond
	silenceLoss  = 1.0 / 30
	longShare    = 0.73 // of the requests come on long flows, the others on a flow each
	longPause    = time.Second
	backAfter    = time.Second           // how long an upstream that is back may still be taken for silent
	probeEvery   = 20 * time.Millisecond // how often it is looked who avoids whom
)

// SilenceResult is what one way gave under one trouble.
type SilenceResult struct {
	Sharing  Sharing
	Fault    Fault
	Requests int
	Late     int
	// LateOnOpenFlows counts those of Late on flows that were open before: an open flow stays at its upstream,
	// whatever entries know.
	LateOnOpenFlows int
	Failed          int
	// WrongEjections counts ejections of upstreams that were well, one for each entry that ejects.
	WrongEjections int
	// DetectionTime is how long after the trouble began nine of ten entries avoided a failing upstream, as
	// a mean over these; one that was never avoided so counts with all of the time.
	DetectionTime time.Duration
	ByteRate      float64 // of reports and sums, sent a second and entry
}

// silenceModel is one data centre in virtual time.
type silenceModel struct {
	cfg     SilenceConfig
	way     Sharing
	trouble Fault
	q       queue
	rnd     *rand.Rand
	book    *stoatroute.Builder
	ups     []*silentUpstream
	entries []*silentEntry
	flows   map[stoatpacket.Tuple]*silentFlow
	port    int
	bytes   int
	known   map[int]time.Duration // by upstream
	out     SilenceResult
}

// silenceEpoch is the model's time zero.
var silenceEpoch = time.Unix(1000, 0)

func (m *silenceModel) now() time.Time { return silenceEpoch.Add(m.q.now) }

// counted tells whether a request that was first tried then counts.
func counted(first time.Duration) bool {
	return first >= silenceFrom && first < silenceFrom+silenceLast+silenceAfter
}

// troubled tells whether the trouble goes on.
func (m *silenceModel) troubled() bool {
	return m.q.now >= silenceFrom && m.q.now < silenceFrom+silenceLast
}

var silenceListen = [2]netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:8443"), netip.MustParseAddrPort("198.18.0.1:8080")}

// RunSilence runs one way under one trouble.
func RunSilence(ctx context.Context, cfg SilenceConfig, way Sharing, trouble Fault) (SilenceResult, error) {
	m := &silenceModel{
		cfg: cfg, way: way, trouble: trouble, rnd: rand.New(rand.NewPCG(cfg.Seed, 11)),
		book:  stoatroute.NewBuilder(stoatroute.Config{}),
		flows: map[stoatpacket.Tuple]*silentFlow{}, known: map[int]time.Duration{},
		out: SilenceResult{Sharing: way, Fault: trouble},
	}
	m.declare()
	for i := range cfg.Entries {
		m.entries = append(m.entries, newSilentEntry(m, i))
	}
	m.offer()
	m.q.after(silenceFrom, m.probe)
	for at := silenceLast / 10; at <= silenceFrom+silenceLast+silenceAfter+silenceLimit; at += silenceLast / 10 {
		if err := ctx.Err(); err != nil {
			return SilenceResult{}, err
		}
		m.q.run(at)
	}
	return m.finish(), nil
}

// declare registers the upstreams, and two routes to their one service.
func (m *silenceModel) declare() {
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	m.book.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: silenceListen[0], Backends: to, Idempotent: true, TargetLatency: silenceGoal, Priority: 2},
		{Listen: silenceListen[1], Backends: to, TargetLatency: silenceGoal, Priority: 1},
	}}, 1)
	names := map[stoatpaddle.UpstreamID]bool{}
	failing := int(m.cfg.FailingShare * float64(m.cfg.Upstreams))
	for i := range m.cfg.Upstreams {
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		names[id] = true
		m.book.Register(m.now(), stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "here", Slots: silenceSlots, CreateRevision: stoatpaddle.Version(i + 2),
		}, stoatpaddle.Version(i+2))
		m.ups = append(m.ups, &silentUpstream{m: m, fails: i < failing, held: map[stoatpacket.Tuple]uint32{}})
	}
	m.book.ApplyList(m.now(), names, false)
}

// fails tells whether an upstream answers nobody now.
func (m *silenceModel) fails(i int) bool {
	return m.ups[i].fails && m.troubled() && (m.trouble == Silenced || m.trouble == Refusing)
}

// probe notes when nine of ten entries avoid each failing upstream.
func (m *silenceModel) probe() {
	if !m.troubled() {
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
	for i := range m.ups {
		if _, seen := m.known[i]; !seen && m.fails(i) && avoid[stoatroute.KeyOf(stoatpaddle.TargetID(i+1))]*10 >= 9*len(m.entries) {
			m.known[i] = m.q.now - silenceFrom
		}
	}
	m.q.after(probeEvery, m.probe)
}

func (m *silenceModel) finish() SilenceResult {
	failing := 0
	for i, u := range m.ups {
		if !u.fails || m.trouble != Silenced && m.trouble != Refusing {
			continue
		}
		failing++
		if d, ok := m.known[i]; ok {
			m.out.DetectionTime += d
		} else {
			m.out.DetectionTime += silenceLast
		}
	}
	if failing > 0 {
		m.out.DetectionTime /= time.Duration(failing)
	}
	m.out.ByteRate = float64(m.bytes) / m.q.now.Seconds() / float64(len(m.entries))
	return m.out
}

// ejected counts an ejection at one entry.
func (m *silenceModel) ejected(u *stoatroute.Upstream) {
	i := int(u.Target) - 1
	failing := m.ups[i].fails && (m.trouble == Silenced || m.trouble == Refusing)
	// Whoever is back has to be heard of first.
	if !failing || m.q.now < silenceFrom || m.q.now > silenceFrom+silenceLast+backAfter {
		m.out.WrongEjections++
	}
}
