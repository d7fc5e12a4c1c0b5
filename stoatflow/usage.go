package stoatflow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// bucket is a token bucket.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// take takes a token if there is one. The bucket refills at rate tokens a second and holds the tokens of
// one second, but at least one.
func (b *bucket) take(now time.Time, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ready reports whether take would succeed.
func (b *bucket) ready(now time.Time, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, rate)
	return b.tokens >= 1
}

func (b *bucket) refill(now time.Time, rate float64) {
	burst := max(1, rate)
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// usage counts one customer's flows at this entry.
type usage struct {
	open     atomic.Int64
	openRate bucket
}

type usageTable struct {
	mu         sync.Mutex
	byCustomer map[stoatpaddle.CustomerID]*usage
}

func (t *usageTable) init() { t.byCustomer = map[stoatpaddle.CustomerID]*usage{} }

func (t *usageTable) get(c stoatpaddle.CustomerID) *usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byCustomer[c]
	if u == nil {
		u = &usage{}
		t.byCustomer[c] = u
	}
	return u
}

// admit reports whether the customer may open one more flow here.
//
// Each entry enforces an equal part of the limit, so that the whole limit holds without communication, also
// during a partition between data centres.
// TODO(shares): divide by demand, so that a customer with skewed traffic can use its whole limit.
func (u *usage) admit(now time.Time, l stoatpaddle.Limits, entries int) bool {
	if entries < 1 {
		entries = 1
	}
	if l.Flows > 0 && u.open.Load() >= int64(max(1, l.Flows/entries)) {
		return false
	}
	if l.OpenRate == 0 {
		return true
	}
	return u.openRate.take(now, float64(l.OpenRate)/float64(entries))
}
