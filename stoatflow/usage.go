package stoatflow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// bucket is a token bucket that refills at a rate.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// take takes a token, if there is one, from a bucket of rate a second and as much at most.
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

// ready tells whether take would succeed.
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

// usage counts one customer's flows on this entry.
type usage struct {
	open  atomic.Int64
	opens bucket
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

// admit tells whether the customer may open one more flow here.
//
// Each entry may act upon an equal part of the limit, so that the whole is kept without
// asking anybody, also while data centres are cut off from each other.
// TODO(shares): divide by demand, so that a skewed customer can use all of its limit.
func (u *usage) admit(now time.Time, l stoatpaddle.Limits, entries int) bool {
	if entries < 1 {
		entries = 1
	}
	if l.Flows > 0 && u.open.Load() >= int64(max(1, l.Flows/entries)) {
		return false
	}
	if l.Opens == 0 {
		return true
	}
	return u.opens.take(now, float64(l.Opens)/float64(entries))
}
