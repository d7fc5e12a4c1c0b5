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
	// watchWait is how long a watch waits for a change: it costs one call a wait.
	watchWait    = 30 * time.Second
	advanceEvery = 100 * time.Millisecond
	seedBytes    = 16
)

func clock() time.Time { return time.Now() }

// do performs one effect; what waits for others runs in the group.
func (e *Entry) do(effect stoatnode.Effect) {
	switch x := effect.(type) {
	case stoatnode.Publish:
		e.engine.Prepare(clock(), x.View)
		e.view.Store(x.View)
	case stoatnode.List:
		e.later(x.Delay, e.list)
	case stoatnode.Watch:
		e.later(x.Delay, func() { e.watch(x.From) })
	case stoatnode.Register:
		e.wanted.Store(&x.Instance)
		e.transport.SetInstance(x.Instance)
		e.later(0, e.register)
	case stoatnode.Rewrite:
		e.later(0, func() { e.rewrite(x.Object) })
	case stoatnode.Unregister:
		e.unregister()
	case stoatnode.MakeSeed:
		e.later(0, e.makeSeed)
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
		e.log.Emit(x.Entry, x.Fields...)
	case stoatnode.HandOver:
		e.handOver()
	case stoatnode.Exit:
		e.cancel()
	}
}

func (e *Entry) later(after time.Duration, f func()) {
	e.group.Go(func() error {
		if stoatplatform.Sleep(e.ctx, after) {
			f()
		}
		return nil
	})
}

func (e *Entry) list() {
	l, err := e.platform.List(e.ctx)
	if err != nil {
		e.platformFailed(err)
		return
	}
	e.post(stoatnode.Listed{Listing: l})
}

func (e *Entry) watch(from stoatpaddle.Version) {
	l, err := e.platform.Watch(e.ctx, from, watchWait)
	if err != nil {
		e.platformFailed(err)
		return
	}
	e.post(stoatnode.Watched{Listing: l})
}

func (e *Entry) platformFailed(err error) {
	ev := stoatnode.PlatformFailed{Cause: err.Error()}
	var rate *stoatpaddle.RateLimitError
	if errors.As(err, &rate) {
		ev.RetryAfter = rate.RetryAfter
	}
	var history *platform.HistoryError
	ev.HistoryGone = errors.As(err, &history)
	e.post(ev)
}

func token() stoatpaddle.WriteToken { return stoatpaddle.WriteToken(uuid.NewString()) }

// register writes the instance's object until the platform has it or the entry ends. It
// writes what is wanted at each try: an older registration that was held up by an outage
// must not undo a later one.
func (e *Entry) register() {
	rnd := mathrand.New(mathrand.NewPCG(uint64(e.self.Incarnation), 4))
	for n := 0; e.ctx.Err() == nil; n++ {
		o, err := e.writeInstance(*e.wanted.Load(), rnd)
		if err == nil {
			e.post(stoatnode.ObjectWritten{Object: o})
			return
		}
		if n == 0 {
			e.log.Emit(EventWriteFailed, stoatevent.F("cause", err.Error()))
		}
		if !stoatplatform.Sleep(e.ctx, stoatplatform.Backoff(rnd, n)) {
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
	own := token()
	w := &stoatplatform.Writer{Platform: e.platform, Rand: rnd}
	return w.Put(e.ctx, stoatpaddle.Object{
		Ref: ref, Version: current.Version, Token: stoatplatform.ChainToken(own, current.Token), Value: value,
	}, own)
}

// rewrite writes an object again until it stands or another one that follows it does.
func (e *Entry) rewrite(o stoatpaddle.Object) {
	rnd := mathrand.New(mathrand.NewPCG(uint64(e.self.Incarnation), 6))
	own := token()
	o.Token = stoatplatform.ChainToken(own, o.Token)
	w := &stoatplatform.Writer{Platform: e.platform, Rand: rnd}
	for n := 0; stoatplatform.Sleep(e.ctx, time.Duration(min(n, 1))*stoatplatform.Backoff(rnd, n)); n++ {
		done, err := w.Put(e.ctx, o, own)
		var conflict *stoatpaddle.ConflictError
		switch {
		case err == nil:
			e.post(stoatnode.ObjectWritten{Object: done})
			return
		case errors.As(err, &conflict):
			// Whoever watches beside this entry was first, or an operator was.
			e.post(stoatnode.ObjectWritten{Object: conflict.Current})
			return
		}
		e.log.Emit(EventWriteFailed, stoatevent.F("cause", err.Error()))
	}
}

const unregisterTimeout = 2 * time.Second

// unregister removes the instance's object; if that fails, peers see it dead soon.
func (e *Entry) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	current, err := e.platform.Get(ctx, stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectInstance, Name: string(e.self.ID)})
	if err != nil {
		return
	}
	current.Token = stoatplatform.ChainToken(token(), current.Token)
	_, _ = e.platform.Delete(ctx, current)
}

// makeSeed creates the cluster's key; if another entry was first, the watch brings its key.
func (e *Entry) makeSeed() {
	raw := make([]byte, seedBytes)
	if _, err := rand.Read(raw); err != nil {
		return
	}
	own := token()
	o, err := e.platform.Put(e.ctx, stoatpaddle.Object{
		Ref: stoatnode.SeedRef, Token: own, Value: []byte(strconv.Quote(hex.EncodeToString(raw))),
	})
	var conflict *stoatpaddle.ConflictError
	switch {
	case err == nil:
		e.post(stoatnode.ObjectWritten{Object: o})
	case errors.As(err, &conflict):
		e.post(stoatnode.ObjectWritten{Object: conflict.Current})
	}
}

// handOver stops new calls and tells how long the flows' records will take.
func (e *Entry) handOver() {
	e.calls.Drain()
	e.handing.Store(true)
	e.log.Emit(EventHandover, stoatevent.F("estimate", e.engine.HandoverTime().String()))
}

// drained tells whether a leaving entry has nothing left to hand over; one that never
// served has nothing.
func (e *Entry) drained(v *stoatview.View) bool {
	return v == nil || v.Entries.Find(e.self.ID) == nil && e.engine.Drained(v)
}

// advance does the flow engine's periodic work and the control reducer's ticks.
func (e *Entry) advance() error {
	t := time.NewTicker(advanceEvery)
	defer t.Stop()
	ticked := clock()
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
		if e.handing.Load() && e.drained(v) {
			e.post(stoatnode.FlowsHandedOver{OpenCalls: e.calls.OpenCalls()})
		}
		if now.Sub(ticked) >= stoatnode.TickInterval {
			ticked = now
			e.post(stoatnode.Ticked{})
		}
	}
}
