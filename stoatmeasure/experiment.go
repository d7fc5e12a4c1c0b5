package stoatmeasure

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatpeer"
)

// Result is the outcome of one experiment.
type Result struct {
	Name              string
	Seed              uint64
	Flows             int // open when counting began
	Opened            int
	Broken            int
	BrokenByPartition int // broken because a partition lay between the caller and the upstream
	BrokenByRoaming   int // broken because packets reached both sides before the entries had detected the end of a partition
	NaiveBroken       int
	Relayed           int
	Dropped           int           // packets
	Notices           int           // datagrams that told an owner the upstream of a flow
	TrackedShare      float64       // share of the opened flows that were placed on an upstream other than their first choice
	MaxImbalance      float64       // greatest ratio of the highest to the mean load, over all samples
	MeanImbalance     float64       // mean of that ratio over all samples
	ControlBytes      int           // of control frames about flows, over all entries
	ControlRate       float64       // control bytes per second and entry, including heartbeats
	LateOpenDelay     time.Duration // longest time from the mark of a leaving upstream to a flow that opened there
}

// Experiment is one row of the table.
type Experiment struct {
	Name     string
	Change   func(f *fleet) // makes the changes, after the warm-up
	Duration time.Duration  // how long results are counted
}

// Experiments returns the experiments in the order of their rows.
func Experiments() []Experiment {
	return []Experiment{
		{Name: "1 steady", Change: func(*fleet) {}, Duration: 15 * time.Second},
		{Name: "2 all change at once", Change: allChange, Duration: 20 * time.Second},
		{Name: "3a one entry dies", Change: func(f *fleet) { f.killEntry(f.entries[4]) }, Duration: 15 * time.Second},
		{Name: "3b two entries die", Change: func(f *fleet) { f.killEntry(f.entries[4]); f.killEntry(f.entries[1]) }, Duration: 15 * time.Second},
		{Name: "3c one dies within 2", Change: func(f *fleet) {
			allChange(f)
			f.q.after(time.Second, func() { f.killEntry(f.entries[4]) })
		}, Duration: 20 * time.Second},
		{Name: "4 rolling replacement", Change: replaceAllEntries, Duration: 65 * time.Second},
		{Name: "5 partition within 2", Change: func(f *fleet) {
			f.partition()
			f.q.after(3*time.Second, func() { allChange(f) })
			f.q.after(12*time.Second, f.heal)
		}, Duration: 30 * time.Second},
		{Name: "7 weights amended", Change: func(f *fleet) { f.setWeights(50, 200, 100, 150) }, Duration: 20 * time.Second},
	}
}

// allChange is experiment 2: an entry and an upstream leave while another entry and another upstream join.
func allChange(f *fleet) {
	f.beginEntryStop(f.entries[2])
	f.addEntry()
	f.markUpstreamLeaving(1)
	f.addUpstream()
}

const replaceInterval = 6 * time.Second

// replaceAllEntries replaces every entry, one after the other.
func replaceAllEntries(f *fleet) {
	for i, e := range slices.Clone(f.entries) {
		f.q.after(time.Duration(i)*replaceInterval, func() {
			f.addEntry()
			f.beginEntryStop(e)
		})
	}
}

// warmUp is the time for the first flows to open, before anything is counted.
const warmUp = 5 * time.Second

// Run runs one experiment.
func Run(x Experiment, cfg Config) Result {
	f := newFleet(cfg)
	for range cfg.Flows {
		at := time.Duration(f.rnd.Int64N(int64(warmUp / 2)))
		lifetime := warmUp + time.Duration(f.rnd.ExpFloat64()*float64(cfg.Flows)/cfg.OpenRate*float64(time.Second))
		f.q.after(at, func() { f.openFlow(lifetime) })
	}
	f.q.runUntil(warmUp)
	f.scheduleArrivals()
	settle := min(30*time.Second, 10*time.Second+time.Duration(2*float64(cfg.Flows)/cfg.OpenRate*float64(time.Second)))
	f.q.runUntil(warmUp + settle)
	f.result = Result{Name: x.Name, Seed: cfg.Seed, Flows: f.openFlows}
	f.counting = true
	opened, tracked := f.stats()
	x.Change(f)
	f.q.runUntil(warmUp + settle + x.Duration)
	return f.finishResult(opened, tracked, x.Duration)
}

// stats returns how many flows all entries together have opened and tracked.
func (f *fleet) stats() (opened, tracked int64) {
	for _, e := range f.entries {
		opened += e.engine.Stats().Opened.Load()
		tracked += e.engine.Stats().Tracked.Load()
	}
	return opened, tracked
}

// finishResult completes the result from the counts at the start of counting and those of now.
func (f *fleet) finishResult(opened, tracked int64, duration time.Duration) Result {
	r := f.result
	o, t := f.stats()
	if o > opened {
		r.TrackedShare = float64(t-tracked) / float64(o-opened)
	}
	for _, w := range f.imbalances {
		r.MaxImbalance = max(r.MaxImbalance, w)
		r.MeanImbalance += w / float64(len(f.imbalances))
	}
	r.ControlRate = float64(r.ControlBytes)/duration.Seconds()/float64(f.cfg.Entries) + heartbeatBytes(f.cfg.Entries)
	return r
}

// heartbeatBytes returns the bytes per second of one entry's heartbeats to all others.
func heartbeatBytes(entries int) float64 {
	beat := &stoatmessage.Heartbeat{
		Digest: stoatmessage.Digest{Newest: 1 << 20, Checksum: 1 << 31}, State: stoatpaddle.StateLive,
	}
	frame, err := stoatpeer.Encode(beat)
	if err != nil {
		return 0
	}
	return float64(len(frame)*(entries-1)) / stoatnode.HeartbeatInterval.Seconds()
}
