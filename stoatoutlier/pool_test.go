package stoatoutlier

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
)

var (
	above  = netip.MustParseAddrPort("10.0.0.1:8166")
	belowA = netip.MustParseAddrPort("10.0.0.2:8166")
	belowB = netip.MustParseAddrPort("10.0.0.3:8166")
)

func saw(key stoatpaddle.UpstreamKey, answered, failed int) Report {
	return Report{Key: key, Counts: Counts{Answered: answered, Failed: failed}}
}

// An entry without a parent in its data centre adds up what it and those below it saw; what a
// child saw counts once, and not any more when the child is gone.
func TestPoolAddsUp(t *testing.T) {
	var p Pool
	now := time.Unix(1000, 0)
	p.Take(now, belowA, []Report{saw(1, 2, 1), saw(2, 5, 0)})
	p.Take(now, belowA, []Report{saw(1, 3, 2), saw(2, 5, 0)})
	p.Take(now.Add(5*time.Second), belowB, []Report{saw(1, 4, 0)})
	sum, _, to := p.Turn(now.Add(5*time.Second), []Report{saw(1, 1, 1)})
	if diff := cmp.Diff([]Report{saw(1, 8, 3)}, sum); diff != "" || to.IsValid() {
		t.Error(diff, to)
	}
	sum, _, _ = p.Turn(now.Add(7*time.Second), []Report{saw(1, 1, 1)})
	if diff := cmp.Diff([]Report{saw(1, 5, 1)}, sum); diff != "" {
		t.Error(diff)
	}
}

// An entry with a parent reports to it what changed soon, and what stays the same rarely; it
// goes by the sum that it is told, until that is old or the parent is gone.
func TestPoolReports(t *testing.T) {
	var p Pool
	now := time.Unix(1000, 0)
	own := []Report{saw(1, 1, 1)}
	p.Follow(now, above, []Report{saw(1, 40, 20)})
	sum, report, to := p.Turn(now, own)
	if diff := cmp.Diff([]Report{saw(1, 40, 20)}, sum); diff != "" || to != above {
		t.Error(diff, to)
	}
	if diff := cmp.Diff(own, report); diff != "" {
		t.Error(diff)
	}
	reports := 0
	for at := 100 * time.Millisecond; at <= 4*time.Second; at += 100 * time.Millisecond {
		if _, _, to := p.Turn(now.Add(at), own); to.IsValid() {
			reports++
		}
	}
	if reports != 2 {
		t.Error("the same was reported", reports, "times in 4 s")
	}
	if _, _, to := p.Turn(now.Add(4600*time.Millisecond), append(own, saw(2, 0, 1))); !to.IsValid() {
		t.Error("what is new waits")
	}
	if _, report, to := p.Turn(now.Add(5200*time.Millisecond), nil); !to.IsValid() || len(report) != 0 {
		t.Error("the end is not reported:", to, report)
	}
	if _, _, to := p.Turn(now.Add(20*time.Second), nil); to.IsValid() {
		t.Error("nothing is reported")
	}
	if sum, _, _ := p.Turn(now.Add(20*time.Second), own); !cmp.Equal(own, sum) {
		t.Error("an old sum is gone by:", sum)
	}
	p.Follow(now.Add(21*time.Second), netip.AddrPort{}, nil)
	if sum, _, to := p.Turn(now.Add(21*time.Second), own); !cmp.Equal(own, sum) || to.IsValid() {
		t.Error(sum, to)
	}
}

// A report that nobody can have made is cut, not believed.
func TestCodec(t *testing.T) {
	list := []Report{saw(1, 2, 3), saw(4000000000, 5, 6)}
	if diff := cmp.Diff(list, Decode(Encode(list))); diff != "" {
		t.Error(diff)
	}
	if got := Decode([]WireReport{{Key: 1, Answered: -1, Failed: 5}, {Key: 2, Answered: 1, Failed: -5}}); len(got) != 0 {
		t.Error(got)
	}
	if got := Decode(make([]WireReport, 10*maxReports)); len(got) != maxReports {
		t.Error(len(got))
	}
}
