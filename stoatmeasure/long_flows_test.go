package stoatmeasure

import (
	"testing"
	"time"
)

// In an overload of long flows, urgent requests could be served as badly as the others. The load is two and a
// half times the capacity of upstreams with two slots, a fifth of which hang.
func TestUrgentRequestsGoFirst(t *testing.T) {
	fleet := OverloadConfig{Entries: 20, Upstreams: 40, LongFlows: true, HangingShare: 0.2}
	o := runStages(t, fleet, 500*time.Millisecond, 3, Stage{0.6, 2 * time.Second}, Stage{2.5, 4 * time.Second})
	usual, urgent := o.Stages[1][0], o.Stages[1][1]
	served := func(x Outcomes) float64 { return x.share(x.InTime + x.Late) }
	if served(urgent) < 1.5*served(usual) {
		t.Errorf("answered: urgent %.3f, usual %.3f", served(urgent), served(usual))
	}
	// Urgent requests must not gain by leaving upstreams idle: the four fifths that do not hang are nearly
	// saturated.
	capacity := 3 * 4 * 0.8 * fleet.capacity()
	if answered := float64(usual.InTime + usual.Late + urgent.InTime + urgent.Late); answered < 0.9*capacity {
		t.Errorf("%.0f answered, the capacity is %.0f", answered, capacity)
	}
}
