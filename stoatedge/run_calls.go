package stoatedge

import (
	"context"
	"errors"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

func clock() time.Time { return time.Now() }

var began = time.Now()

// steady is the steady clock's time since the process started.
func steady() time.Duration { return time.Since(began) }

// callCancel gives up the call of a topic. Begin and interrupt are effects of one keeper, in
// its order: an interrupt finds the call that was asked for before it, also in its pause.
type callCancel struct{ cancel context.CancelFunc }

func (c *callCancel) begin(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	c.cancel = cancel
	return ctx
}

func (c *callCancel) interrupt() {
	if c.cancel != nil {
		c.cancel()
	}
}

// do performs one effect; what waits for others runs in the group.
func (e *Edge) do(effect any) {
	switch x := effect.(type) {
	case ask:
		ctx := e.cancels[x.topic].begin(e.ctx)
		e.group.Go(func() error {
			e.call(ctx, x)
			return nil
		})
	case interrupt:
		e.cancels[x.topic].interrupt()
	case seek:
		ctx, cancel := context.WithCancelCause(e.ctx)
		e.place.parent.set(x.serial, cancel)
		e.group.Go(func() error {
			defer cancel(nil)
			e.seek(ctx, x)
			return nil
		})
	case leave:
		e.place.parent.leave(x)
	case recall:
		e.group.Go(func() error {
			e.recallFormer()
			return nil
		})
	case remember:
		e.group.Go(func() error {
			e.rememberFormer(x)
			return nil
		})
	case announcement:
		e.place.announced.Store(&x)
		e.place.bell.ring()
	case changed:
		e.place.bell.ring()
	case publish:
		e.table.Store(x.table)
		if x.table.Ready() {
			e.release(clock())
			e.placed.Do(func() { close(e.placing) })
		}
	case touched:
		e.inTouch.Store(x.answers)
	case logged:
		e.log.emit(clock(), x.entry, x.fields...)
	}
}

func kindOf(t topic) string {
	return [...]string{platform.KindConfig, platform.KindUpstream, platform.KindEvacuation}[t]
}

// call does one call to the platform and reports its end. given is cancelled when the call
// is given up.
func (e *Edge) call(given context.Context, x ask) {
	if !stoatplatform.Sleep(given, x.call.Pause) {
		if e.ctx.Err() == nil {
			e.post(ended{topic: x.topic, call: x.call, sent: clock(), result: stoatfeed.Result{Outcome: stoatfeed.Interrupted}})
		}
		return
	}
	ctx, cancel := context.WithTimeout(given, x.call.Timeout)
	defer cancel()
	q := platform.Query{Kind: kindOf(x.topic), AllowStale: x.call.AllowStale}
	if x.call.List {
		q.After = x.call.After
	} else {
		q.Watch, q.From, q.Wait = true, uint64(x.call.From), x.call.Wait
	}
	sent := clock()
	answer, err := e.store.Read(ctx, q)
	took := clock().Sub(sent)
	if e.ctx.Err() != nil {
		return
	}
	out := ended{topic: x.topic, call: x.call, sent: sent, cause: err}
	out.result, out.changes = readAnswer(x, answer, err)
	if err != nil && given.Err() != nil {
		out.result.Outcome = stoatfeed.Interrupted
	}
	e.counts.called(x, out.result, took)
	e.post(out)
}

func outcomeOf(err error) stoatfeed.Outcome {
	var history *platform.HistoryError
	var rate *stoatpaddle.RateLimitError
	switch {
	case err == nil:
		return stoatfeed.Answered
	case errors.As(err, &history):
		return stoatfeed.Forgotten
	case errors.As(err, &rate):
		return stoatfeed.Refused
	default:
		return stoatfeed.Failed
	}
}

// eraOf returns which history an answer is of, also one that refuses to go on from a revision.
func eraOf(a platform.ReadResult, err error) stoatpaddle.Era {
	var history *platform.HistoryError
	if errors.As(err, &history) {
		return stoatpaddle.Era(history.Era)
	}
	return stoatpaddle.Era(a.Era)
}

func readAnswer(x ask, a platform.ReadResult, err error) (stoatfeed.Result, []change) {
	r := stoatfeed.Result{Outcome: outcomeOf(err), AsOf: stoatpaddle.Position{Era: eraOf(a, err), Revision: stoatpaddle.Version(a.AsOf)}, More: a.More}
	var changes []change
	for i := range a.Items {
		changes = append(changes, readChange(x.topic, &a.Items[i], false))
		if name := a.Items[i].Meta.Name; name != "" {
			r.Last = name
		}
	}
	for i := range a.Events {
		changes = append(changes, readChange(x.topic, &a.Events[i].Object, a.Events[i].Deleted))
	}
	r.Changes = len(changes)
	if r.More && (r.Last == "" || r.Last == x.call.After) {
		// No name of the page can be read: the next question would bring it again, for ever.
		r.Outcome, changes = stoatfeed.Failed, nil
	}
	return r, changes
}

// readChange decodes one object.
func readChange(t topic, o *platform.Object, gone bool) change {
	c := change{name: o.Meta.Name, revision: stoatpaddle.Version(o.Meta.Revision), gone: gone}
	if t == evacuations && c.name != "" && (gone || o.DecodeErr == nil) {
		c.evacuation = &stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(c.name), Revision: c.revision, Withdrawn: gone}
		return c
	}
	if gone {
		return c
	}
	if t == upstreams {
		c.readRegistration(o)
		return c
	}
	if c.fault = o.DecodeErr; c.fault != nil {
		return c
	}
	if t != declarations || o.Meta.Name != platform.ConfigName {
		return c
	}
	d, err := platform.DecodeDeclaration(o.Spec)
	if c.fault = err; err == nil {
		c.declaration = &d
	}
	return c
}

// readRegistration decodes an upstream's object. What its name says is known also if the rest cannot be read.
func (c *change) readRegistration(o *platform.Object) {
	err := o.DecodeErr
	var r stoatpaddle.Registration
	if err == nil {
		r, err = platform.DecodeRegistration(o.Meta.Name, o.Spec)
	}
	if err != nil {
		c.fault, c.target = err, platform.TargetOf(o.Meta.Name)
		return
	}
	r.CreateRevision = stoatpaddle.Version(o.Meta.CreateRevision)
	c.registration = &r
}
