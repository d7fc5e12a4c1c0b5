package stoatflow

import (
	"hash/fnv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	// farEvery is between load reports to entries of other data centres at least; those of
	// the same one, who own nearly all flows on the same upstreams, get one with each sending.
	farEvery = 400 * time.Millisecond
	// quietEvery is between load reports at most: a lost one is made up for.
	quietEvery = 5 * time.Second
	// worthReporting is the change, in parts of the load, that is worth a report before
	// that: reports of a load that stands still would cost as much as those of one that moves.
	worthReporting = 0.003
)

// reported is what was last told of one set's loads.
type reported struct {
	open []uint32
	at   time.Time
}

// audience tells entries of this data centre from those of others.
type audience struct {
	set SetDigest
	far bool
}

// reportLoads tells the other owners how loaded each upstream is from here.
func (e *Engine) reportLoads(now time.Time, v *stoatview.View) {
	self := v.Entries.Find(v.Self)
	if self == nil {
		return
	}
	for _, s := range v.Services {
		if s.Kind != stoatpaddle.KindFlow || len(s.Set.Upstreams) < 2 {
			continue
		}
		report := e.loadsOf(s.Set)
		for _, far := range []bool{false, true} {
			if e.worth(now, report, far) {
				e.tell(v, self, report, far)
			}
		}
	}
}

// loadsOf returns this entry's load on each upstream of a set.
func (e *Engine) loadsOf(set *stoatview.UpstreamSet) LoadReport {
	report := LoadReport{Set: digest(set)}
	for _, sl := range e.reg.Load().sets[set] {
		report.Open = append(report.Open, uint32(max(0, sl.open.Load())))
	}
	return report
}

// worth tells whether the loads changed enough, or for long enough, to be reported, and
// notes that they are.
func (e *Engine) worth(now time.Time, l LoadReport, far bool) bool {
	key := audience{set: l.Set, far: far}
	last := e.told[key]
	if far && now.Sub(last.at) < farEvery {
		return false
	}
	if now.Sub(last.at) < quietEvery && !shifted(last.open, l.Open) {
		return false
	}
	e.told[key] = reported{open: l.Open, at: now}
	return true
}

func (e *Engine) tell(v *stoatview.View, self *stoatview.Member, l LoadReport, far bool) {
	for _, m := range v.Entries.Members {
		if m != self && far == (m.DataCentre != self.DataCentre) {
			e.out.load(m.ID, l)
		}
	}
}

// shifted tells whether the loads moved by more than worthReporting of their sum.
func shifted(before, now []uint32) bool {
	if len(before) != len(now) {
		return true
	}
	var change, sum int64
	for i := range now {
		d := int64(now[i]) - int64(before[i])
		change += max(d, -d)
		sum += int64(now[i])
	}
	return float64(change) > worthReporting*float64(sum)
}

// digest names a set by its upstreams' keys.
func digest(set *stoatview.UpstreamSet) SetDigest {
	h := fnv.New32a()
	for _, u := range set.Upstreams {
		k := u.Key
		_, _ = h.Write([]byte{byte(k >> 24), byte(k >> 16), byte(k >> 8), byte(k)})
	}
	return SetDigest(h.Sum32())
}
