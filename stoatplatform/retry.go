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

// The bounds of the backoff: its ceiling starts at backoffBase and doubles up to backoffMax.
const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 30 * time.Second
)

// Backoff returns a random delay before attempt n, counted from 0, with full jitter. Without the jitter, all
// entries would retry at the same moment when the platform recovers from an outage.
func Backoff(rnd *rand.Rand, n int) time.Duration {
	ceiling := backoffMax
	if n < 16 {
		ceiling = min(backoffMax, backoffBase<<n)
	}
	return time.Duration(rnd.Int64N(int64(ceiling)) + 1)
}

// maxNamedWrites is the largest number of writes that a token names, including its own.
const maxNamedWrites = 8

// ChainToken returns the token of a write on top of the one with token prev. The token names the last few
// writes, so that a writer that got no response recognizes its own write even after later ones.
func ChainToken(own, prev stoatpaddle.WriteToken) stoatpaddle.WriteToken {
	parts := strings.Split(string(prev), tokenSeparator)
	if len(parts) >= maxNamedWrites {
		parts = parts[:maxNamedWrites-1]
	}
	return stoatpaddle.WriteToken(strings.TrimSuffix(string(own)+tokenSeparator+strings.Join(parts, tokenSeparator), tokenSeparator))
}

// tokenSeparator separates the writes that a token names.
const tokenSeparator = ","

// WrittenBy reports whether the write with token own made the object or one of its earlier versions that the
// object's token names.
func WrittenBy(o stoatpaddle.Object, own stoatpaddle.WriteToken) bool {
	return slices.Contains(strings.Split(string(o.Token), tokenSeparator), string(own))
}

// DescendsFrom reports whether o was written on top of other or of a descendant of other: the last write of
// other is among the earlier writes that the token of o names.
func DescendsFrom(o, other stoatpaddle.Object) bool {
	last, _, _ := strings.Cut(string(other.Token), tokenSeparator)
	_, earlier, _ := strings.Cut(string(o.Token), tokenSeparator)
	return last != "" && slices.Contains(strings.Split(earlier, tokenSeparator), last)
}

// UnknownOutcomeError reports a write of which it is unknown whether it took effect. Repeating the write with
// the same token is safe.
type UnknownOutcomeError struct {
	Token stoatpaddle.WriteToken
	Cause error
}

// Error names the cause and the token to repeat the write with.
func (e *UnknownOutcomeError) Error() string {
	return "unknown whether the write took effect; repeat it with token " + string(e.Token) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Writer writes objects and retries a write whose response was lost.
type Writer struct {
	Platform    stoatpaddle.Platform
	Rand        *rand.Rand
	MaxAttempts int // default 4
}

const defaultMaxAttempts = 4

// Put writes o on top of the version that o names, or deletes it if o.Deleted is set. If a retry conflicts with
// a version whose token names own, an earlier attempt took effect. So nothing is applied twice, and no write
// that took effect is reported as rejected. Its errors are *stoatpaddle.ConflictError and
// *UnknownOutcomeError.
func (w *Writer) Put(ctx context.Context, o stoatpaddle.Object, own stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
	maxAttempts := w.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	var cause error
	for n := range maxAttempts {
		if n > 0 && !Sleep(ctx, Backoff(w.Rand, n)) {
			break
		}
		done, err := w.writeOnce(ctx, o, own)
		var conflict *stoatpaddle.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return done, err
		}
		cause = err
	}
	return stoatpaddle.Object{}, &UnknownOutcomeError{Token: own, Cause: cause}
}

func (w *Writer) writeOnce(ctx context.Context, o stoatpaddle.Object, own stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
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

// Sleep waits for d or until the context is done, and reports whether the context is not done.
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
