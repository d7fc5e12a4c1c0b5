package stoatmeasure

import (
	"context"
	"testing"
	"time"
)

// runSilence runs thirty entries with forty upstreams, and adds up the outcomes of three seeds.
func runSilence(t *testing.T, sharing Sharing, fault Fault) SilenceResult {
	t.Helper()
	var sum SilenceResult
	for seed := range uint64(3) {
		s, err := RunSilence(context.Background(), SilenceConfig{
			Entries: 30, Upstreams: 40, RequestRate: silenceRate, FailingShare: silenceShare, Seed: seed + 1,
		}, sharing, fault)
		if err != nil {
			t.Fatal(err)
		}
		sum.Requests += s.Requests
		sum.Late += s.Late
		sum.LateOnOpenFlows += s.LateOnOpenFlows
		sum.Failed += s.Failed
		sum.WrongEjections += s.WrongEjections
		sum.DetectionTime += s.DetectionTime / 3
		sum.ByteRate += s.ByteRate / 3
	}
	t.Logf("%s, %s: %+v", fault, sharing, sum)
	return sum
}

// Three in ten of the upstreams fall silent. An entry by itself detects this only when the registrations have
// expired. With reports along the relay tree, nine of ten entries avoid these upstreams within half a second,
// and half as many callers of new flows wait. The same decisions without any delay are the bound. Callers on
// open flows wait in any case, since no evidence may reset a flow.
func TestSilenceIsDetectedSoon(t *testing.T) {
	isolated, aggregated, bound := runSilence(t, Isolated, Silenced), runSilence(t, Aggregated, Silenced), runSilence(t, Instant, Silenced)
	if aggregated.DetectionTime > 600*time.Millisecond || isolated.DetectionTime < time.Second {
		t.Errorf("detected after %s, by isolated entries after %s", aggregated.DetectionTime, isolated.DetectionTime)
	}
	late := func(s SilenceResult) int { return s.Late - s.LateOnOpenFlows }
	if 10*late(aggregated) > 6*late(isolated) || 10*late(aggregated) > 13*late(bound) {
		t.Errorf("%d late on new flows, with isolated entries %d, the bound is %d", late(aggregated), late(isolated), late(bound))
	}
	if slack := 3; aggregated.LateOnOpenFlows > isolated.LateOnOpenFlows+slack {
		t.Errorf("%d late on open flows, with isolated entries %d", aggregated.LateOnOpenFlows, isolated.LateOnOpenFlows)
	}
	if aggregated.ByteRate > 2048 {
		t.Errorf("%.0f bytes per second and entry", aggregated.ByteRate)
	}
}

// Failing upstreams reset flows, and callers retry at once, at another entry that knows nothing of the
// failure. If the entries share nothing, three tries end at such upstreams far more often.
func TestRefusingUpstreamsAreDetectedSoon(t *testing.T) {
	isolated, aggregated := runSilence(t, Isolated, Refusing), runSilence(t, Aggregated, Refusing)
	if 2*aggregated.Failed > isolated.Failed {
		t.Errorf("%d failed, with isolated entries %d", aggregated.Failed, isolated.Failed)
	}
}

// One packet in thirty is lost, or the link of one entry is cut, while all upstreams are healthy. Reports
// between entries must cause no additional ejections, and must not serve callers worse.
func TestLossDoesNotEject(t *testing.T) {
	for _, fault := range []Fault{Lossy, EntryCutOff} {
		isolated, aggregated := runSilence(t, Isolated, fault), runSilence(t, Aggregated, fault)
		if aggregated.WrongEjections > isolated.WrongEjections {
			t.Errorf("%s: %d wrong ejections, with isolated entries %d", fault, aggregated.WrongEjections, isolated.WrongEjections)
		}
		if aggregated.Late+aggregated.Failed > isolated.Late+isolated.Failed+3 {
			t.Errorf("%s: %d late or failed, with isolated entries %d", fault, aggregated.Late+aggregated.Failed, isolated.Late+isolated.Failed)
		}
	}
}
