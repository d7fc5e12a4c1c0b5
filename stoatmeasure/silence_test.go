package stoatmeasure

import (
	"context"
	"testing"
	"time"
)

// runSilence runs thirty entries before forty upstreams, with three seeds summed up.
func runSilence(t *testing.T, way Sharing, trouble Fault) SilenceResult {
	t.Helper()
	var sum SilenceResult
	for seed := range uint64(3) {
		s, err := RunSilence(context.Background(), SilenceConfig{
			Entries: 30, Upstreams: 40, RequestRate: silenceRate, FailingShare: silenceShare, Seed: seed + 1,
		}, way, trouble)
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
	t.Logf("%s, %s: %+v", trouble, way, sum)
	return sum
}

// A third of the upstreams fall silent. Each entry by itself finds out when the registrations have
// lapsed; along the relay tree nine of ten entries avoid them within half a second, and half as many
// callers of new flows wait. Nobody can do much better: the same without any delay is the bound.
// Those on open flows wait whatever is known, since no evidence may reset a flow.
func TestSilenceIsKnownSoon(t *testing.T) {
	alone, pooled, bound := runSilence(t, Isolated, Silenced), runSilence(t, Aggregated, Silenced), runSilence(t, Instant, Silenced)
	if pooled.DetectionTime > 600*time.Millisecond || alone.DetectionTime < time.Second {
		t.Errorf("known after %s, each for itself after %s", pooled.DetectionTime, alone.DetectionTime)
	}
	late := func(s SilenceResult) int { return s.Late - s.LateOnOpenFlows }
	if 10*late(pooled) > 6*late(alone) || 10*late(pooled) > 13*late(bound) {
		t.Errorf("%d late on new flows, each for itself %d, the bound is %d", late(pooled), late(alone), late(bound))
	}
	if slack := 3; pooled.LateOnOpenFlows > alone.LateOnOpenFlows+slack {
		t.Errorf("%d late on open flows, each for itself %d", pooled.LateOnOpenFlows, alone.LateOnOpenFlows)
	}
	if pooled.ByteRate > 2048 {
		t.Errorf("%.0f bytes a second and entry", pooled.ByteRate)
	}
}

// The same, and their machines refuse. Callers come back at once, to another entry that knows
// nothing: each for itself, three tries end at such upstreams far more often.
func TestRefusalsAreKnownSoon(t *testing.T) {
	alone, pooled := runSilence(t, Isolated, Refusing), runSilence(t, Aggregated, Refusing)
	if 2*pooled.Failed > alone.Failed {
		t.Errorf("%d failed, each for itself %d", pooled.Failed, alone.Failed)
	}
}

// Every thirtieth packet is lost, or one entry's link is cut, and all upstreams are well. What entries
// tell each other ejects none of them, and serves callers no worse.
func TestLossIsNoSilence(t *testing.T) {
	for _, trouble := range []Fault{Lossy, EntryCutOff} {
		alone, pooled := runSilence(t, Isolated, trouble), runSilence(t, Aggregated, trouble)
		if pooled.WrongEjections > alone.WrongEjections {
			t.Errorf("%s: %d wrong ejections, each for itself %d", trouble, pooled.WrongEjections, alone.WrongEjections)
		}
		if pooled.Late+pooled.Failed > alone.Late+alone.Failed+3 {
			t.Errorf("%s: %d late or failed, each for itself %d", trouble, pooled.Late+pooled.Failed, alone.Late+alone.Failed)
		}
	}
}
