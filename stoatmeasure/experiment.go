package stoatmeasure

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatpeer"
)

// Result is what one experiment showed.
type Result struct {
	Name              string
	Seed              uint64
	Flows             int // open when counting began
	Opened            int
	Broken            int
	BrokenByPartition int // broken because a cut lay between caller and upstream
	BrokenByRoaming   int // broken while their packets went to both sides before the entries had noticed the end of a cut
	NaiveBroken       int
	Relayed           int
	Dropped           int     // packets
	Notices           int     // datagrams that told an owner where a flow goes
	TrackedShare      float64 // share of the opened flows that went to another than their first choice
	MaxImbalance      float64 // greatest load over the mean, at any sample
	MeanImbalance     float64 // the same, averaged over the samples
	ControlBytes      int     // of flow control frames, over all entries
	ControlRate       float64 // control bytes a second and entry, heartbeats included
	LateOpenDelay     time.Duration
}

// Experiment is one row of the table.
type Experiment struct {
	Name     string
	Change   func(f *fleet) // the changes, after the warm-up
	Duration time.Duration  // how long to count
}

// Experiments returns the experiments in the order of their rows.
func Experiments() []Experiment {
	return []Experiment{
		{Name: "1 steady", Change: func(*fleet) {}, Duration: 15 * time.Second},
		{Name: "2 all change at once", Change: allChange, Duration: 20 * time.Second},
		{Name: "3a one entry dies", Change: func(f *fleet) { f.entryDies(f.entries[4]) }, Duration: 15 * time.Second},
		{Name: "3b two entries die", Change: func(f *fleet) { f.entryDies(f.entries[4]); f.entryDies(f.entries[1]) }, Duration: 15 * time.Second},
		{Name: "3c one dies within 2", Change: func(f *fleet) {
			allChange(f)
			f.q.after(time.Second, func() { f.entryDies(f.entries[4]) })
		}, Duration: 20 * time.Second},
		{Name: "4 rolling replacement", Change: rolling, Duration: 65 * time.Second},
		{Name: "5 partition within 2", Change: func(f *fleet) {
			f.partition()
			f.q.after(3*time.Second, func() { allChange(f) })
			f.q.after(12*time.Second, f.heal)
		}, Duration: 30 * time.Second},
		{Name: "7 weights amended", Change: func(f *fleet) { f.reweigh(50, 200, 100, 150) }, Duration: 20 * time.Second},
	}
}

// allChange is experiment 2: an entry and an upstream leave, others join, all at once.
func allChange(f *fleet) {
	f.entryLeaves(f.entries[2])
	f.entryJoins()
	f.upstreamLeaves(1)
	f.upstreamJoins()
}

const replaceEvery = 6 * time.Second

// rolling replaces every entry, one after the other.
func rolling(f *fleet) {
	for i, e := range slices.Clone(f.entries) {
		f.q.after(time.Duration(i)*replaceEvery, func() {
			f.entryJoins()
			f.entryLeaves(e)
		})
	}
}

// warmUp is how long the flows open before anything is counted.
const warmUp = 5 * time.Second

// Run runs one experiment.
func Run(x Experiment, cfg Config) Result {
	f := newFleet(cfg)
	for range cfg.Flows {
		at := time.Duration(f.rnd.Int64N(int64(warmUp / 2)))
		life := warmUp + time.Duration(f.rnd.ExpFloat64()*float64(cfg.Flows)/cfg.OpenRate*float64(time.Second))
		f.q.after(at, func() { f.openFlow(life) })
	}
	f.q.run(warmUp)
	f.arrive()
	settle := min(30*time.Second, 10*time.Second+time.Duration(2*float64(cfg.Flows)/cfg.OpenRate*float64(time.Second)))
	f.q.run(warmUp + settle)
	f.result = Result{Name: x.Name, Seed: cfg.Seed, Flows: f.openNow}
	f.counting = true
	opened, tracked := f.stats()
	x.Change(f)
	f.q.run(warmUp + settle + x.Duration)
	return f.finishResult(opened, tracked, x.Duration)
}

func (f *fleet) stats() (opened, tracked int64) {
	for _, e := range f.entries {
		opened += e.engine.Stats().Opened.Load()
		tracked += e.engine.Stats().Tracked.Load()
	}
	return opened, tracked
}

func (f *fleet) finishResult(opened, tracked int64, last time.Duration) Result {
	r := f.result
	o, t := f.stats()
	if o > opened {
		r.TrackedShare = float64(t-tracked) / float64(o-opened)
	}
	for _, w := range f.worst {
		r.MaxImbalance = max(r.MaxImbalance, w)
		r.MeanImbalance += w / float64(len(f.worst))
	}
	r.ControlRate = float64(r.ControlBytes)/last.Seconds()/float64(f.cfg.Entries) + heartbeatBytes(f.cfg.Entries)
	return r
}

// heartbeatBytes is what an entry's heartbeats to all others cost a second.
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
