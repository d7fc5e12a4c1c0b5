package stoatplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// The bounds of the pause between tries.
const (
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 30 * time.Second
)

// Backoff returns a random pause before try n (from 0), by full jitter: without it every
// entry would come back to a platform that has just returned in the same moment.
func Backoff(rnd *rand.Rand, n int) time.Duration {
	ceiling := backoffMost
	if n < 16 {
		ceiling = min(backoffMost, backoffLeast<<n)
	}
	return time.Duration(rnd.Int64N(int64(ceiling)) + 1)
}

// trailLength is how many earlier writers a token names.
const trailLength = 8

// ChainToken returns the token of a write that follows the one that made prev: it names the
// last few writers, so that a writer whose answer was lost finds its own write even
// after others have followed it.
func ChainToken(own, prev stoatpaddle.WriteToken) stoatpaddle.WriteToken {
	parts := strings.Split(string(prev), trailMark)
	if len(parts) >= trailLength {
		parts = parts[:trailLength-1]
	}
	return stoatpaddle.WriteToken(strings.TrimSuffix(string(own)+trailMark+strings.Join(parts, trailMark), trailMark))
}

const trailMark = ","

// WrittenBy tells whether the writer with token own is among those that the object names.
func WrittenBy(o stoatpaddle.Object, own stoatpaddle.WriteToken) bool {
	return slices.Contains(strings.Split(string(o.Token), trailMark), string(own))
}

// DescendsFrom tells whether the object was written on top of the other one, or of one that followed it: the
// other one's last writer is among its earlier ones.
func DescendsFrom(o, other stoatpaddle.Object) bool {
	last, _, _ := strings.Cut(string(other.Token), trailMark)
	_, earlier, _ := strings.Cut(string(o.Token), trailMark)
	return last != "" && slices.Contains(strings.Split(earlier, trailMark), last)
}

// UnknownOutcomeError reports a write of which nobody can say now whether it took effect.
// Repeating it with the same token is safe.
type UnknownOutcomeError struct {
	Token stoatpaddle.WriteToken
	Cause error
}

// Error names the token to ask again with.
func (e *UnknownOutcomeError) Error() string {
	return "unknown whether the write took effect; ask again with token " + string(e.Token) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Writer does writes whose answers may get lost.
type Writer struct {
	Platform    stoatpaddle.Platform
	Rand        *rand.Rand
	MaxAttempts int // default 4
}

const defaultTries = 4

// Put writes o on top of the version it names. After a lost answer it looks for its own
// token before it tries again, so that nothing is applied twice and nothing that took
// effect is reported as refused. Errors: *stoatpaddle.ConflictError, *UnknownError.
func (w *Writer) Put(ctx context.Context, o stoatpaddle.Object, own stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
	tries := w.MaxAttempts
	if tries == 0 {
		tries = defaultTries
	}
	var cause error
	for n := range tries {
		if n > 0 && !Sleep(ctx, Backoff(w.Rand, n)) {
			break
		}
		done, err := w.once(ctx, o, own)
		var conflict *stoatpaddle.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return done, err
		}
		cause = err
	}
	return stoatpaddle.Object{}, &UnknownOutcomeError{Token: own, Cause: cause}
}

func (w *Writer) once(ctx context.Context, o stoatpaddle.Object, own stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
	done, err := w.send(ctx, o)
	var conflict *stoatpaddle.ConflictError
	if errors.As(err, &conflict) && WrittenBy(conflict.Current, own) {
		return conflict.Current, nil
	}
	return done, err
}

func (w *Writer) send(ctx context.Context, o stoatpaddle.Object) (stoatpaddle.Object, error) {
	if o.Deleted {
		return w.Platform.Delete(ctx, o)
	}
	return w.Platform.Put(ctx, o)
}

// Sleep waits and tells whether the context still stands.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
