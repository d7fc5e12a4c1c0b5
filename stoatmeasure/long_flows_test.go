package stoatmeasure

import (
	"testing"
	"time"
)

// Guards against an overload of long flows in which the kind that is worth most is served as badly as the others:
// two and a half times what upstreams of two slots can do, a fifth of which hang.
func TestUrgentRequestsGoFirst(t *testing.T) {
	fleet := OverloadConfig{Entries: 20, Upstreams: 40, LongFlows: true, HangingShare: 0.2}
	o := play(t, fleet, 500*time.Millisecond, 3, Stage{0.6, 2 * time.Second}, Stage{2.5, 4 * time.Second})
	usual, urgent := o.Stages[1][0], o.Stages[1][1]
	served := func(x Outcomes) float64 { return x.share(x.InTime + x.Late) }
	if served(urgent) < 1.5*served(usual) {
		t.Errorf("answered: urgent %.3f, usual %.3f", served(urgent), served(usual))
	}
	// Nobody gains by upstreams that stand idle: four fifths of them answer all that they can.
	can := 3 * 4 * 0.8 * fleet.capacity()
	if answered := float64(usual.InTime + usual.Late + urgent.InTime + urgent.Late); answered < 0.9*can {
		t.Errorf("%.0f answered, the upstreams can do %.0f", answered, can)
	}
}
