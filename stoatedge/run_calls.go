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

var processStart = time.Now()

// monotonic returns the monotonic time since the process started.
func monotonic() time.Duration { return time.Since(processStart) }

// callCancel cancels the call of a topic. The controller emits startCall and cancelCall in order, so that
// interrupt finds the call that was started before it, even during the call's pause.
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

// perform performs one effect. An effect that has to wait runs in the group.
func (e *Edge) perform(effect any) {
	switch x := effect.(type) {
	case startCall:
		ctx := e.cancels[x.topic].begin(e.ctx)
		e.group.Go(func() error {
			e.call(ctx, x)
			return nil
		})
	case cancelCall:
		e.cancels[x.topic].interrupt()
	case findParent:
		ctx, cancel := context.WithCancelCause(e.ctx)
		e.relay.search.set(x.searchID, cancel)
		e.group.Go(func() error {
			defer cancel(nil)
			e.followParent(ctx, x)
			return nil
		})
	case leaveParent:
		e.relay.search.leave(x)
	case loadFormer:
		e.group.Go(func() error {
			e.loadFormer()
			return nil
		})
	case saveFormer:
		e.group.Go(func() error {
			e.saveFormer(x)
			return nil
		})
	case announcement:
		e.relay.announced.Store(&x)
		e.relay.notifier.notify()
	case updatedAnnouncement:
		e.relay.announced.Store(&x.announcement)
	case wakeChildren:
		e.relay.notifier.notify()
	case publishTable:
		e.table.Store(x.table)
		if x.table.Ready() {
			e.applyTable(clock())
			e.tableReadyOnce.Do(func() { close(e.tableReady) })
		}
	case platformStatus:
		e.platformAnswers.Store(x.answers)
		e.engineMu.Lock()
		e.verifier.SetPlatform(x.answers, x.watches)
		e.engineMu.Unlock()
	case logEvent:
		e.log.emit(clock(), x.definition, x.fields...)
	}
}

func kindOf(t topic) string {
	return [...]string{platform.KindConfig, platform.KindUpstream, platform.KindEvacuation}[t]
}

// call makes one call to the platform and reports its end. callCtx ends when the call is cancelled.
func (e *Edge) call(callCtx context.Context, x startCall) {
	if !stoatplatform.Sleep(callCtx, x.call.Pause) {
		if e.ctx.Err() == nil {
			e.post(callEnded{topic: x.topic, call: x.call, sent: clock(), result: stoatfeed.Result{Outcome: stoatfeed.Interrupted}})
		}
		return
	}
	ctx, cancel := context.WithTimeout(callCtx, x.call.Timeout)
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
	out := callEnded{topic: x.topic, call: x.call, sent: sent, cause: err}
	out.result, out.changes = readAnswer(x, answer, err)
	if err != nil && callCtx.Err() != nil {
		out.result.Outcome = stoatfeed.Interrupted
	}
	e.counts.countCall(x, out.result, took)
	e.post(out)
}

func outcomeOf(err error) stoatfeed.Outcome {
	var history *platform.HistoryError
	var rate *stoatpaddle.RateLimitError
	switch {
	case err == nil:
		return stoatfeed.Answered
	case errors.As(err, &history):
		return stoatfeed.HistoryGone
	case errors.As(err, &rate):
		return stoatfeed.Refused
	default:
		return stoatfeed.Failed
	}
}

// eraOf returns the era of an answer, or of a refusal to continue from a revision.
func eraOf(a platform.ReadResult, err error) stoatpaddle.Era {
	var history *platform.HistoryError
	if errors.As(err, &history) {
		return stoatpaddle.Era(history.Era)
	}
	return stoatpaddle.Era(a.Era)
}

func readAnswer(x startCall, a platform.ReadResult, err error) (stoatfeed.Result, []change) {
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
		// No name in the page can be read: the next call would return the same page, forever.
		r.Outcome, changes = stoatfeed.Failed, nil
	}
	return r, changes
}

// readChange decodes one object.
func readChange(t topic, o *platform.Object, deleted bool) change {
	c := change{name: o.Meta.Name, revision: stoatpaddle.Version(o.Meta.Revision), deleted: deleted}
	if t == evacuations && c.name != "" && (deleted || o.DecodeErr == nil) {
		c.evacuation = &stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(c.name), Revision: c.revision, Withdrawn: deleted}
		return c
	}
	if deleted {
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

// readRegistration decodes an upstream's object. What its name says is known even if the rest cannot be read.
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
