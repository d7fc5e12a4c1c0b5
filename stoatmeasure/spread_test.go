package stoatmeasure

import (
	"context"
	"testing"
	"time"
)

// Twenty-two entries before forty upstreams with two slots each: each entry sees one request
// in twenty-two. The product's choice by what it sees alone must stay near to what counts of
// all entries would give, and far ahead of chance, at a calm load and at a busy one.
func TestSpread(t *testing.T) {
	for _, load := range []float64{0.35, 0.7} {
		list, err := RunSpread(context.Background(), SpreadConfig{
			Entries: 22, Upstreams: 40, Slots: 2, Load: load, ServiceTime: 45 * time.Millisecond, Duration: 10 * time.Second, Seed: 3,
		})
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]SpreadResult{}
		for _, s := range list {
			got[s.Policy] = s
		}
		product, chance, best := got["product: own requests and times"], got["random"], got["all requests, at once"]
		if product.Requests < 1000 || product.P99 >= chance.P99 || product.P99 > 3*best.P99 {
			t.Errorf("load %g: p99 %s, by chance %s, with all counts %s", load, product.P99, chance.P99, best.P99)
		}
	}
}
