package stoatentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	// watchTimeout is how long a watch waits for a change. Each wait costs one call to the platform.
	watchTimeout    = 30 * time.Second
	advanceInterval = 100 * time.Millisecond
	seedBytes       = 16
)

func clock() time.Time { return time.Now() }

// perform carries out one effect. Calls to the platform run in goroutines of the group, so that the control
// actor doesn't wait for them; it waits only for Unregister, at the end of a planned stop.
func (e *Entry) perform(effect stoatnode.Effect) {
	switch x := effect.(type) {
	case stoatnode.Publish:
		e.engine.Prepare(clock(), x.View)
		e.view.Store(x.View)
	case stoatnode.List:
		e.runAfter(x.Delay, e.list)
	case stoatnode.Watch:
		e.runAfter(x.Delay, func() { e.watch(x.From) })
	case stoatnode.Register:
		e.registration.Store(&x.Instance)
		e.transport.SetInstance(x.Instance)
		e.runAfter(0, e.register)
	case stoatnode.Rewrite:
		e.runAfter(0, func() { e.rewrite(x.Object) })
	case stoatnode.Unregister:
		e.unregister()
	case stoatnode.MakeSeed:
		e.runAfter(0, e.makeSeed)
	case stoatnode.Dial:
		e.transport.Dial(x.Addr)
	case stoatnode.Disconnect:
		e.transport.Disconnect(x.Peer)
	case stoatnode.Send:
		e.transport.Send(x.To, x.Message)
	case stoatnode.DeliverFlows:
		if v := e.view.Load(); v != nil {
			e.engine.Receive(clock(), v, x.From, x.Flows.Batch)
		}
	case stoatnode.Resync:
		e.engine.Resync(x.Peer)
	case stoatnode.Log:
		e.log.Emit(x.Definition, x.Fields...)
	case stoatnode.HandOver:
		e.handOver()
	case stoatnode.Exit:
		e.cancel()
	}
}

// runAfter calls f in a goroutine of the group after a pause, unless the entry ends first.
func (e *Entry) runAfter(after time.Duration, f func()) {
	e.group.Go(func() error {
		if stoatplatform.Sleep(e.ctx, after) {
			f()
		}
		return nil
	})
}

func (e *Entry) list() {
	listing, err := e.platform.List(e.ctx)
	if err != nil {
		e.postPlatformFailure(err)
		return
	}
	e.post(stoatnode.Listed{Listing: listing})
}

func (e *Entry) watch(from stoatpaddle.Version) {
	changes, err := e.platform.Watch(e.ctx, from, watchTimeout)
	if err != nil {
		e.postPlatformFailure(err)
		return
	}
	e.post(stoatnode.Watched{Listing: changes})
}

func (e *Entry) postPlatformFailure(err error) {
	event := stoatnode.PlatformFailed{Cause: err.Error()}
	var rateErr *stoatpaddle.RateLimitError
	if errors.As(err, &rateErr) {
		event.RetryAfter = rateErr.RetryAfter
	}
	var historyErr *platform.HistoryError
	event.HistoryGone = errors.As(err, &historyErr)
	e.post(event)
}

func newToken() stoatpaddle.WriteToken { return stoatpaddle.WriteToken(uuid.NewString()) }

// register writes the instance's object and retries until the platform has it or the entry ends. Each attempt
// writes the latest registration: an older one that was delayed by an outage must not overwrite a later one.
func (e *Entry) register() {
	rnd := mathrand.New(mathrand.NewPCG(uint64(e.self.Incarnation), 4))
	for attempt := 0; e.ctx.Err() == nil; attempt++ {
		o, err := e.writeInstance(*e.registration.Load(), rnd)
		if err == nil {
			e.post(stoatnode.ObjectWritten{Object: o})
			return
		}
		if attempt == 0 {
			e.log.Emit(EventWriteFailed, stoatevent.F("cause", err.Error()))
		}
		if !stoatplatform.Sleep(e.ctx, stoatplatform.Backoff(rnd, attempt)) {
			return
		}
	}
}

func (e *Entry) writeInstance(i stoatpaddle.Instance, rnd *mathrand.Rand) (stoatpaddle.Object, error) {
	value, err := stoatcontract.EncodeInstance(i)
	if err != nil {
		return stoatpaddle.Object{}, err
	}
	ref := stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectInstance, Name: string(i.ID)}
	current, err := e.platform.Get(e.ctx, ref)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return stoatpaddle.Object{}, err
	}
	token := newToken()
	w := &stoatplatform.Writer{Platform: e.platform, Rand: rnd}
	return w.Put(e.ctx, stoatpaddle.Object{
		Ref: ref, Version: current.Version, Token: stoatplatform.ChainToken(token, current.Token), Value: value,
	}, token)
}

// rewrite writes an object that a restored platform has lost. It retries until the platform has this version of
// the object or a later one.
func (e *Entry) rewrite(o stoatpaddle.Object) {
	rnd := mathrand.New(mathrand.NewPCG(uint64(e.self.Incarnation), 6))
	token := newToken()
	o.Token = stoatplatform.ChainToken(token, o.Token)
	w := &stoatplatform.Writer{Platform: e.platform, Rand: rnd}
	for attempt := 0; stoatplatform.Sleep(e.ctx, time.Duration(min(attempt, 1))*stoatplatform.Backoff(rnd, attempt)); attempt++ {
		written, err := w.Put(e.ctx, o, token)
		var conflict *stoatpaddle.ConflictError
		switch {
		case err == nil:
			e.post(stoatnode.ObjectWritten{Object: written})
			return
		case errors.As(err, &conflict):
			// Another entry wrote the object again first, or an operator changed it.
			e.post(stoatnode.ObjectWritten{Object: conflict.Current})
			return
		}
		e.log.Emit(EventWriteFailed, stoatevent.F("cause", err.Error()))
	}
}

const unregisterTimeout = 2 * time.Second

// unregister deletes the instance's object in a single attempt. If the attempt fails, the peers soon find the
// entry dead, because its heartbeats stop.
func (e *Entry) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	current, err := e.platform.Get(ctx, stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectInstance, Name: string(e.self.ID)})
	if err != nil {
		return
	}
	current.Token = stoatplatform.ChainToken(newToken(), current.Token)
	_, _ = e.platform.Delete(ctx, current)
}

// makeSeed creates the cluster's hash key. If another entry has created one first, that one is used.
func (e *Entry) makeSeed() {
	raw := make([]byte, seedBytes)
	if _, err := rand.Read(raw); err != nil {
		return
	}
	token := newToken()
	o, err := e.platform.Put(e.ctx, stoatpaddle.Object{
		Ref: stoatnode.HashKeyRef, Token: token, Value: []byte(strconv.Quote(hex.EncodeToString(raw))),
	})
	var conflict *stoatpaddle.ConflictError
	switch {
	case err == nil:
		e.post(stoatnode.ObjectWritten{Object: o})
	case errors.As(err, &conflict):
		e.post(stoatnode.ObjectWritten{Object: conflict.Current})
	}
}

// handOver stops taking new calls and logs how long the handover of the flow records should take.
func (e *Entry) handOver() {
	e.calls.Drain()
	e.handingOver.Store(true)
	e.log.Emit(EventHandover, stoatevent.F("estimate", e.engine.HandoverTime().String()))
}

// handoverComplete reports whether a leaving entry has nothing left to hand over. An entry without a view has
// never served, so it has nothing to hand over.
func (e *Entry) handoverComplete(v *stoatview.View) bool {
	return v == nil || v.Entries.Find(e.self.ID) == nil && e.engine.Drained(v)
}

// runTimer runs the flow engine's periodic work and posts the node's ticks until the entry ends.
func (e *Entry) runTimer() error {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	lastTick := clock()
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-t.C:
		}
		now := clock()
		v := e.view.Load()
		if v != nil {
			for _, b := range e.engine.Advance(now, v, e.transport.Connected) {
				e.transport.Send(b.To, &stoatmessage.Flows{Batch: b})
			}
		}
		if e.handingOver.Load() && e.handoverComplete(v) {
			e.post(stoatnode.FlowsHandedOver{OpenCalls: e.calls.OpenCalls()})
		}
		if now.Sub(lastTick) >= stoatnode.TickInterval {
			lastTick = now
			e.post(stoatnode.Ticked{})
		}
	}
}
