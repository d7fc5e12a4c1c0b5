package stoatmeasure

import (
	"context"
	"testing"
	"time"
)

// runSilence runs thirty entries before forty upstreams, with three seeds summed up.
func runSilence(t *testing.T, sharing Way, fault Trouble) Silence {
	t.Helper()
	var sum Silence
	for seed := range uint64(3) {
		s, err := RunSilence(context.Background(), SilenceConfig{
			Entries: 30, Upstreams: 40, Rate: silenceRate, Share: silenceShare, Seed: seed + 1,
		}, sharing, fault)
		if err != nil {
			t.Fatal(err)
		}
		sum.Asked += s.Asked
		sum.Late += s.Late
		sum.Bound += s.Bound
		sum.Failed += s.Failed
		sum.Wrongly += s.Wrongly
		sum.Known += s.Known / 3
		sum.Bytes += s.Bytes / 3
	}
	t.Logf("%s, %s: %+v", fault, sharing, sum)
	return sum
}

// A third of the upstreams fall silent. Each entry by itself finds out when the registrations have
// lapsed; along the relay tree nine of ten entries avoid them within half a second, and half as many
// callers of new flows wait. Nobody can do much better: the same without any delay is the bound.
// Those on open flows wait whatever is known, since no evidence may reset a flow.
func TestSilenceIsDetectedSoon(t *testing.T) {
	isolated, aggregated, bound := runSilence(t, Alone, Silenced), runSilence(t, Pooled, Silenced), runSilence(t, AtOnce, Silenced)
	if aggregated.Known > 600*time.Millisecond || isolated.Known < time.Second {
		t.Errorf("known after %s, each for itself after %s", aggregated.Known, isolated.Known)
	}
	late := func(s Silence) int { return s.Late - s.Bound }
	if 10*late(aggregated) > 6*late(isolated) || 10*late(aggregated) > 13*late(bound) {
		t.Errorf("%d late on new flows, each for itself %d, the bound is %d", late(aggregated), late(isolated), late(bound))
	}
	if slack := 3; aggregated.Bound > isolated.Bound+slack {
		t.Errorf("%d late on open flows, each for itself %d", aggregated.Bound, isolated.Bound)
	}
	if aggregated.Bytes > 2048 {
		t.Errorf("%.0f bytes a second and entry", aggregated.Bytes)
	}
}

// The same, and their machines refuse. Callers come back at once, to another entry that knows
// nothing: each for itself, three tries end at such upstreams far more often.
func TestRefusingUpstreamsAreDetectedSoon(t *testing.T) {
	isolated, aggregated := runSilence(t, Alone, Refusing), runSilence(t, Pooled, Refusing)
	if 2*aggregated.Failed > isolated.Failed {
		t.Errorf("%d failed, each for itself %d", aggregated.Failed, isolated.Failed)
	}
}

// Every thirtieth packet is lost, or one entry's link is cut, and all upstreams are well. What entries
// tell each other ejects none of them, and serves callers no worse.
func TestLossDoesNotEject(t *testing.T) {
	for _, fault := range []Trouble{Lossy, CutEntry} {
		isolated, aggregated := runSilence(t, Alone, fault), runSilence(t, Pooled, fault)
		if aggregated.Wrongly > isolated.Wrongly {
			t.Errorf("%s: %d wrong ejections, each for itself %d", fault, aggregated.Wrongly, isolated.Wrongly)
		}
		if aggregated.Late+aggregated.Failed > isolated.Late+isolated.Failed+3 {
			t.Errorf("%s: %d late or failed, each for itself %d", fault, aggregated.Late+aggregated.Failed, isolated.Late+isolated.Failed)
		}
	}
}
