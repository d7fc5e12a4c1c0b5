package stoatload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
)

// simulatedTree is a relay tree of one data centre in which every entry but the root has a parent.
type simulatedTree struct {
	fanout   int
	entries  []*Aggregator
	reports  []Pacer
	children []ChildPacer
	sent     []float64 // bytes by entry, headers included
	loads    float64   // bytes of all loads, without headers
	now      time.Time
}

func newSimulatedTree(entries, fanout int) *simulatedTree {
	s := &simulatedTree{fanout: fanout, reports: make([]Pacer, entries), children: make([]ChildPacer, entries), sent: make([]float64, entries), now: start}
	for i := range entries {
		s.entries = append(s.entries, newAggregator(i, "here"))
	}
	s.entries[0].SetTopmost(true)
	return s
}

// round is one round of all entries: reports go up, then the sum goes down.
func (s *simulatedTree) round(t testing.TB, own func(i int) []GroupLoad) {
	t.Helper()
	s.now = s.now.Add(PressedInterval)
	for i := len(s.entries) - 1; i >= 0; i-- {
		s.entries[i].SetOwn(s.now, own(i))
		if i > 0 && s.reports[i].Next(s.now, s.entries[i].Pace(s.now)) {
			s.report(t, i)
		}
	}
	for i := range s.entries {
		sum, ok := s.entries[i].SumForChildren(s.now)
		if ok && s.children[i].Next(s.now, s.entries[i].Pace(s.now), sum.At) {
			s.wakeChildren(t, i, sum)
		}
	}
}

func (s *simulatedTree) report(t testing.TB, i int) {
	t.Helper()
	data, err := EncodeReport(s.now, s.entries[i].Report(s.now))
	if err != nil {
		t.Fatal(err)
	}
	s.reports[i].Charge(len(data))
	s.count(i, len(data), requestBytes)
	r, err := DecodeReport(s.now, "here", data)
	if err != nil {
		t.Fatal(err)
	}
	s.entries[(i-1)/s.fanout].HandleChild(s.now, addrOf(i), r)
}

func (s *simulatedTree) wakeChildren(t testing.TB, i int, sum CentreLoad) {
	t.Helper()
	data, err := EncodeCentre(s.now, sum)
	if err != nil {
		t.Fatal(err)
	}
	s.children[i].Charge(len(data))
	for c := i*s.fanout + 1; c <= min((i+1)*s.fanout, len(s.entries)-1); c++ {
		s.count(i, len(data), headBytes(t))
		got, err := DecodeCentre(s.now, data)
		if err != nil {
			t.Fatal(err)
		}
		s.entries[c].HandleParent(s.now, addrOf(i), &got)
	}
}

func (s *simulatedTree) count(i, loads, rest int) {
	s.sent[i] += float64(loads + rest)
	s.loads += float64(loads)
}

// headBytes returns the length of a message to a child without its loads.
func headBytes(t testing.TB) int {
	t.Helper()
	data, err := stoatrelay.Encode(&stoatrelay.Head{
		PositionRevision: 1234567, AgeMS: 40, Path: []string{"10.1.0.10:8166", "10.1.0.77:8166", "10.1.0.78:8166"},
		Siblings: []string{"10.1.0.80:8166", "10.1.0.81:8166", "10.1.0.82:8166"}, Centre: "ruwi", Rank: 100, DataCentreEntries: 300, PositionEra: 1, BodyEra: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// shared returns loads of an entry of so many, with two levels in each of the services.
func shared(services, entries int, rejected float64) []GroupLoad {
	var out []GroupLoad
	rate := 3000 / float64(entries)
	for i := range services {
		out = append(out, GroupLoad{
			Group: GroupID{Service: stoatpaddle.ServiceID(fmt.Sprintf("service-%02d", i)), DataCentre: "here"}, Entries: 1, Answered: rate, Rejected: rate * rejected,
			InProgress: rate / 10, AnswerTime: 83 * ms, Unqueued: 21 * ms,
			Levels: []LevelLoad{{Arrived: rate, Admitted: rate}, {Priority: 1, Arrived: 2 * rate, Admitted: rate}},
		})
	}
	return out
}

// maxControlBytes is what an entry may send to other entries a second, on average over entries and time.
const maxControlBytes = 2000

// controlBytes returns what entries send in the first seconds of an overload, in one that lasts, and without pressure.
func controlBytes(t testing.TB, entries, services int, during time.Duration) (burst, lasting, calm sentRate) {
	t.Helper()
	const fanout = 3
	s := newSimulatedTree(entries, fanout)
	burst = s.measure(t, 15*time.Second, shared(services, entries, 0.2))
	s.measure(t, 10*time.Second, shared(services, entries, 0.2))
	lasting = s.measure(t, during, shared(services, entries, 0.2))
	calm = newSimulatedTree(entries, fanout).measure(t, during, withoutPressure(shared(services, entries, 0)))
	return burst, lasting, calm
}

// Guards against messages that take more than the control traffic of an entry, or whose number or length grows with the
// number of entries.
func TestControlBytes(t *testing.T) {
	const services = 4
	var means []float64
	for _, entries := range []int{10, 30, 100} {
		_, lasting, calm := controlBytes(t, entries, services, 10*time.Second)
		if lasting.mean > maxControlBytes || calm.mean > maxControlBytes {
			t.Errorf("%d entries: lasting %s, without pressure %s; at most %d bytes a second expected", entries, lasting, calm, maxControlBytes)
		}
		means = append(means, lasting.mean)
	}
	if means[2] > 1.1*means[1] {
		t.Errorf("bytes grow with the number of entries: %v", means)
	}
}

// BenchmarkControlBytes prints the bytes that entries send a second.
func BenchmarkControlBytes(b *testing.B) {
	for _, services := range []int{1, 4, 16} {
		for _, entries := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("services=%d/entries=%d", services, entries), func(b *testing.B) {
				for range b.N {
					burst, lasting, calm := controlBytes(b, entries, services, 20*time.Second)
					b.Logf("bytes a second and entry: burst %s; lasting %s; without pressure %s", burst, lasting, calm)
				}
			})
		}
	}
}

// BenchmarkRound measures what one entry does in a round under pressure: it measures its load, adds up that of three
// children, encodes a report, and decodes and encodes the sum.
func BenchmarkRound(b *testing.B) {
	const entries = 300
	for _, services := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			s := newSimulatedTree(entries, 3)
			own := shared(services, entries, 0.2)
			b.ReportAllocs()
			for i := 0; i < b.N; i += entries {
				s.round(b, func(int) []GroupLoad { return own })
			}
		})
	}
}

func withoutPressure(groups []GroupLoad) []GroupLoad {
	for i := range groups {
		for k := range groups[i].Levels {
			groups[i].Levels[k].Admitted = groups[i].Levels[k].Arrived
		}
	}
	return groups
}

// sentRate is the rate of bytes that entries send, a second.
type sentRate struct {
	mean  float64 // of all entries
	most  float64 // of one entry
	loads float64 // mean without headers
}

func (r sentRate) String() string {
	return fmt.Sprintf("%.0f (most %.0f, loads alone %.0f)", r.mean, r.most, r.loads)
}

// measure returns what entries send during a time in which each has the load.
func (s *simulatedTree) measure(t testing.TB, during time.Duration, own []GroupLoad) sentRate {
	t.Helper()
	clear(s.sent)
	s.loads = 0
	for range int(during / PressedInterval) {
		s.round(t, func(int) []GroupLoad { return own })
	}
	n := float64(len(s.entries))
	r := sentRate{loads: s.loads / during.Seconds() / n}
	for _, b := range s.sent {
		r.mean += b / during.Seconds() / n
		r.most = max(r.most, b/during.Seconds())
	}
	return r
}

// Guards against an exchange between data centres that grows with the number of entries. Run with -v, it prints the
// bytes of one message and the rates.
func TestExchangeBytes(t *testing.T) {
	for _, services := range []int{1, 4, 16} {
		for _, entries := range []int{30, 100, 300} {
			agg := newAggregator(0, "here")
			agg.SetTopmost(true)
			for range entries {
				agg.HandleChild(start, addrOf(1), Report{Groups: sumGroups(append(agg.Subtree(start), shared(services, entries, 0.2)...))})
			}
			data, err := EncodeExchange(start, agg.Exchange(start, addrOf(9), false))
			if err != nil {
				t.Fatal(err)
			}
			perSecond := float64(len(data)+requestBytes) / SteadyInterval.Seconds()
			t.Logf("%2d services, %3d entries: %d bytes a message, with headers at most %.0f bytes a second in each direction", services, entries, len(data), perSecond)
			if perSecond > maxControlBytes {
				t.Error("more than the control traffic of an entry")
			}
		}
	}
}
