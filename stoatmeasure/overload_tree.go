package stoatmeasure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// TreeConfig describes how the entries of a data centre add up what they observe; zero values take the defaults.
type TreeConfig struct {
	Children int           // of an entry
	Interval time.Duration // between two reports of an entry
	Hop      time.Duration // from an entry to its parent or child
	// CutShare is the share of the entries that have no parent: they neither report nor receive a sum.
	CutShare float64
	// Age is how much older a sum is on arrival than the hops make it.
	Age time.Duration
}

const (
	// defaultTreeChildren is less than stoattree.MaxChildren, as only the fastest entries take as many.
	defaultTreeChildren = 4
	defaultTreeInterval = 200 * time.Millisecond
	// defaultTreeHop is the delay of a message between two entries, which forward it at their next turn.
	defaultTreeHop = 30 * time.Millisecond
	// treeReportAge is how long a child's report counts.
	treeReportAge = 3 * time.Second
)

func (c TreeConfig) withDefaults() TreeConfig {
	if c.Children == 0 {
		c.Children = defaultTreeChildren
	}
	if c.Interval == 0 {
		c.Interval = defaultTreeInterval
	}
	if c.Hop == 0 {
		c.Hop = defaultTreeHop
	}
	return c
}

// loadTree adds up the loads of entries along a tree, in virtual time.
type loadTree struct {
	cfg   TreeConfig
	q     *queue
	epoch time.Time
	// observe returns what an entry observed, and receive hands it a sum.
	observe func(now time.Time, entry int) []stoatload.GroupLoad
	receive func(now time.Time, entry int, sum stoatload.CentreLoad)
	reports []map[int]childReport // by entry and child
}

// childReport is the load of a child's subtree.
type childReport struct {
	at     time.Duration
	groups []stoatload.GroupLoad
}

// start schedules the reports of all entries up to a time, each with a phase of its own.
func (t *loadTree) start(entries int, until time.Duration, rnd *rand.Rand) {
	t.cfg = t.cfg.withDefaults()
	connected := max(1, entries-int(t.cfg.CutShare*float64(entries)))
	t.reports = make([]map[int]childReport, connected)
	for i := range t.reports {
		t.reports[i] = map[int]childReport{}
		t.q.after(time.Duration(rnd.Int64N(int64(t.cfg.Interval))), func() { t.report(i, until) })
	}
}

// report sends the subtree's load to the parent; the root sends the sum down.
func (t *loadTree) report(entry int, until time.Duration) {
	groups := t.subtree(entry)
	if entry == 0 {
		t.handDown(0, stoatload.CentreLoad{DataCentre: "here", At: t.now().Add(-t.cfg.Age), Groups: groups})
	} else {
		parent := (entry - 1) / t.cfg.Children
		t.q.after(t.cfg.Hop, func() { t.reports[parent][entry] = childReport{t.q.now, groups} })
	}
	if t.q.now+t.cfg.Interval < until {
		t.q.after(t.cfg.Interval, func() { t.report(entry, until) })
	}
}

func (t *loadTree) now() time.Time { return t.epoch.Add(t.q.now) }

// subtree returns the load of an entry and of the recent reports of its children.
func (t *loadTree) subtree(entry int) []stoatload.GroupLoad {
	sum := t.observe(t.now(), entry)
	for child := entry*t.cfg.Children + 1; child <= (entry+1)*t.cfg.Children; child++ {
		if r, ok := t.reports[entry][child]; ok && t.q.now-r.at <= treeReportAge {
			sum = addLoads(sum, r.groups)
		}
	}
	return sum
}

// handDown hands the sum to an entry and passes it on to its children.
func (t *loadTree) handDown(entry int, sum stoatload.CentreLoad) {
	t.receive(t.now(), entry, sum)
	for child := entry*t.cfg.Children + 1; child <= (entry+1)*t.cfg.Children && child < len(t.reports); child++ {
		t.q.after(t.cfg.Hop, func() { t.handDown(child, sum) })
	}
}

// addLoads returns the sums of the groups of both lists.
func addLoads(a, b []stoatload.GroupLoad) []stoatload.GroupLoad {
	out := append([]stoatload.GroupLoad(nil), a...)
	for _, g := range b {
		found := false
		for i := range out {
			if out[i].Group == g.Group {
				out[i], found = out[i].Add(g), true
			}
		}
		if !found {
			out = append(out, g)
		}
	}
	return out
}
