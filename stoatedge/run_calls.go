package stoatedge

import (
	"context"
	"errors"
	"sync/atomic"
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

// callCancel gives up the call that a topic waits for.
type callCancel struct {
	cancel atomic.Pointer[context.CancelFunc]
	asked  atomic.Bool // by an interrupt, not by a time-out
}

// do performs one effect; what waits for others runs in the group.
func (e *Edge) do(effect any) {
	switch x := effect.(type) {
	case ask:
		e.group.Go(func() error {
			e.call(x)
			return nil
		})
	case interrupt:
		c := &e.cancels[x.topic]
		c.asked.Store(true)
		if cancel := c.cancel.Load(); cancel != nil {
			(*cancel)()
		}
	case askNeighbours:
		e.askNeighbours(x)
	case publish:
		e.table.Store(x.table)
		if x.table.Ready() {
			e.release(clock())
		}
	case askProof:
		e.group.Go(func() error {
			e.askProof(x)
			return nil
		})
	case proved:
		e.board.post(x.rev, x.sent)
	case knows:
		e.known.Store(uint64(x.rev))
	case touched:
		e.inTouch.Store(x.answers)
	case logged:
		e.log.emit(clock(), x.entry, x.fields...)
	}
}

func kindOf(t topic) string {
	if t == declarations {
		return platform.KindConfig
	}
	return platform.KindUpstream
}

// call does one call to the platform and reports its end.
func (e *Edge) call(x ask) {
	if !stoatplatform.Pause(e.ctx, x.call.Pause) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, x.call.Timeout)
	defer cancel()
	c := &e.cancels[x.topic]
	c.asked.Store(false)
	c.cancel.Store(&cancel)
	q := platform.Query{Kind: kindOf(x.topic), Stale: x.call.Stale}
	if x.call.List {
		q.After = x.call.After
	} else {
		q.Watch, q.From, q.Wait = true, uint64(x.call.From), x.call.Wait
	}
	sent := clock()
	answer, err := e.store.Read(ctx, q)
	took := clock().Sub(sent)
	c.cancel.Store(nil)
	if e.ctx.Err() != nil {
		return
	}
	out := ended{topic: x.topic, call: x.call, sent: sent, cause: err}
	out.result, out.changes = readAnswer(x, answer, err)
	if err != nil && c.asked.Load() {
		out.result.Outcome = stoatfeed.Interrupted
	}
	e.counts.called(x, out.result.Outcome, took)
	e.post(out)
}

func outcomeOf(err error) stoatfeed.Outcome {
	var history *platform.HistoryError
	var rate *stoatpaddle.RateError
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

func readAnswer(x ask, a platform.Answer, err error) (stoatfeed.Result, []change) {
	r := stoatfeed.Result{Outcome: outcomeOf(err), AsOf: stoatpaddle.Version(a.AsOf), More: a.More}
	var changes []change
	for i := range a.Items {
		changes = append(changes, readChange(x.topic, &a.Items[i], false))
		r.Last = a.Items[i].Meta.Name
	}
	for i := range a.Events {
		changes = append(changes, readChange(x.topic, &a.Events[i].Object, a.Events[i].Deleted))
	}
	r.Changes = len(changes)
	return r, changes
}

// readChange decodes one object.
func readChange(t topic, o *platform.Object, gone bool) change {
	c := change{name: o.Meta.Name, revision: stoatpaddle.Version(o.Meta.Revision), gone: gone}
	if gone {
		return c
	}
	if t == upstreams {
		r, err := platform.Registration(o.Meta.Name, o.Spec)
		if c.fault = err; err == nil {
			r.Born = stoatpaddle.Version(o.Meta.CreateRev)
			c.registration = &r
		}
		return c
	}
	if o.Meta.Name != platform.NameConfig {
		return c
	}
	d, err := platform.Declaration(o.Spec)
	if c.fault = err; err == nil {
		c.declaration = &d
	}
	return c
}
