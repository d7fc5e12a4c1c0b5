package stoatcall

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// HeaderNotRun is the header that an upstream sets on a 503 answer if it refused the call without starting it.
const HeaderNotRun = "Not-Run"

const (
	responseHeaderTimeout = 30 * time.Second
	dialTimeout           = 2 * time.Second
	// maxAttempts is the maximum number of upstreams that one call tries.
	maxAttempts    = 3
	copyBufferSize = 64 << 10 // bytes
	// retryAfterSeconds is the Retry-After value of a refusal.
	retryAfterSeconds = 1
)

// Clock returns the current time.
type Clock func() time.Time

// Config configures a Handler.
type Config struct {
	View  func() *stoatview.View
	Clock Clock
	Seed  uint64
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	cfg            Config
	transport      *http.Transport
	mu             sync.Mutex // guards rnd, openByUpstream and customers
	rnd            *rand.Rand
	openByUpstream map[stoatpaddle.UpstreamKey]int // calls in progress
	customers      map[stoatpaddle.CustomerID]*customerUsage
	stopping       atomic.Bool
	openCalls      atomic.Int64
	stats          Stats
	buffers        sync.Pool
}

// customerUsage is what one customer uses of its limits on this entry.
type customerUsage struct {
	calls      int       // in progress
	tokens     float64   // of the token bucket that limits calls a second
	refilledAt time.Time // when tokens was last refilled
}

// Stats are the counters of a Handler.
type Stats struct {
	Answered       atomic.Int64 // complete answers
	Refused        atomic.Int64 // calls that did not run
	UnknownOutcome atomic.Int64 // calls that may have run but got no answer
	Truncated      atomic.Int64 // answers that ended early
	Attempts       atomic.Int64 // upstreams tried
}

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{
		cfg: cfg,
		transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: responseHeaderTimeout,
			MaxIdleConnsPerHost:   16,
			DisableCompression:    true,
		},
		rnd:            rand.New(rand.NewPCG(cfg.Seed, 2)),
		openByUpstream: map[stoatpaddle.UpstreamKey]int{},
		customers:      map[stoatpaddle.CustomerID]*customerUsage{},
		buffers:        sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }},
	}
}

// Drain makes the handler refuse new calls. Calls in progress continue.
func (h *Handler) Drain() { h.stopping.Store(true) }

// OpenCalls returns the number of requests in progress.
func (h *Handler) OpenCalls() int { return int(h.openCalls.Load()) }

// Stats returns the handler's counters.
func (h *Handler) Stats() *Stats { return &h.stats }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
		h.refuseRetryable(w, ProblemStopping, http.StatusServiceUnavailable, "")
		return
	}
	v := h.cfg.View()
	if v == nil {
		h.refuseRetryable(w, ProblemNotReady, http.StatusServiceUnavailable, "")
		return
	}
	svc := v.CallService(authorityOf(r))
	if svc == nil {
		h.stats.Refused.Add(1)
		writeProblem(w, ProblemNoService, http.StatusMisdirectedRequest, 0, r.Host)
		return
	}
	if !h.admitCall(v, svc) {
		h.refuseRetryable(w, ProblemOverLimit, http.StatusTooManyRequests, svc.Ref.String())
		return
	}
	defer h.releaseCall(svc)
	h.tryUpstreams(w, r, svc)
}

func (h *Handler) refuseRetryable(w http.ResponseWriter, e *stoatevent.Definition, status int, detail string) {
	h.stats.Refused.Add(1)
	writeProblem(w, e, status, retryAfterSeconds, detail)
}

func authorityOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// admitCall counts the call against the customer's limits, of which each entry enforces an equal part. It
// returns false if the call exceeds one of them.
func (h *Handler) admitCall(v *stoatview.View, svc *stoatview.Service) bool {
	now := h.cfg.Clock()
	entries := max(1, len(v.Entries.Members))
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[svc.Ref.Customer]
	rate := max(1, float64(svc.Limits.CallRate)/float64(entries))
	if c == nil {
		c = &customerUsage{tokens: rate, refilledAt: now}
		h.customers[svc.Ref.Customer] = c
	}
	c.tokens = min(rate, c.tokens+rate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.calls >= max(1, svc.Limits.Calls/entries) || c.tokens < 1 {
		return false
	}
	c.tokens--
	c.calls++
	return true
}

func (h *Handler) releaseCall(svc *stoatview.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.customers[svc.Ref.Customer].calls--
}

// tryUpstreams tries upstreams until one runs the request. It does not try another one if the request may have
// run and is not idempotent.
func (h *Handler) tryUpstreams(w http.ResponseWriter, r *http.Request, svc *stoatview.Service) {
	body := &trackedBody{body: r.Body}
	tried := map[stoatpaddle.UpstreamKey]bool{}
	for range maxAttempts {
		u := h.acquireUpstream(svc, tried)
		if u == nil {
			break
		}
		tried[u.Key] = true
		h.stats.Attempts.Add(1)
		res, err := h.send(r, u, body)
		if err == nil && !refusedByUpstream(res) {
			h.forwardAnswer(w, res, u)
			return
		}
		h.releaseUpstream(u)
		if err != nil && !dialFailed(err) && !idempotent(r.Method) {
			h.stats.UnknownOutcome.Add(1)
			writeProblem(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "")
			return
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if res != nil {
			_ = res.Body.Close()
		}
		// A partly read body cannot be sent to another upstream.
		if body.started.Load() {
			h.refuseAfterBodyRead(w, err)
			return
		}
	}
	h.refuseRetryable(w, ProblemNoCapacity, http.StatusServiceUnavailable, svc.Ref.String())
}

// forwardAnswer copies the answer to the caller. The upstream is released in a deferred call because copyAnswer
// panics if the answer ends early.
func (h *Handler) forwardAnswer(w http.ResponseWriter, res *http.Response, u *stoatview.Upstream) {
	defer h.releaseUpstream(u)
	h.copyAnswer(w, res)
}

// refuseAfterBodyRead answers a call that cannot be tried again because part of its body was read.
func (h *Handler) refuseAfterBodyRead(w http.ResponseWriter, err error) {
	if err == nil || dialFailed(err) {
		h.refuseRetryable(w, ProblemNoCapacity, http.StatusServiceUnavailable, "")
		return
	}
	h.stats.UnknownOutcome.Add(1)
	writeProblem(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "")
}

func refusedByUpstream(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) != ""
}

// dialFailed reports whether err means that there was no connection, so that the upstream got no byte.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// acquireUpstream takes a slot of an upstream that was not tried yet, or returns nil if none has a free slot.
// It chooses the upstream with the fewest calls of this entry in proportion to its weight, at random among
// equals.
func (h *Handler) acquireUpstream(svc *stoatview.Service, tried map[stoatpaddle.UpstreamKey]bool) *stoatview.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	ups := svc.Set.Upstreams
	if len(ups) == 0 {
		return nil
	}
	var best *stoatview.Upstream
	start := h.rnd.IntN(len(ups))
	for i := range ups {
		u := ups[(start+i)%len(ups)]
		if tried[u.Key] || h.openByUpstream[u.Key] >= u.Slots {
			continue
		}
		if best == nil || h.openByUpstream[u.Key]*int(best.Weight) < h.openByUpstream[best.Key]*int(u.Weight) {
			best = u
		}
	}
	if best != nil {
		h.openByUpstream[best.Key]++
	}
	return best
}

func (h *Handler) releaseUpstream(u *stoatview.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openByUpstream[u.Key]--; h.openByUpstream[u.Key] == 0 {
		delete(h.openByUpstream, u.Key)
	}
}

// hopByHopHeaders are the headers that concern one connection only and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// send sends the request to the upstream and returns the answer.
func (h *Handler) send(r *http.Request, u *stoatview.Upstream, body *trackedBody) (*http.Response, error) {
	ctx := r.Context()
	if !idempotent(r.Method) {
		// A call that may be half done continues if its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = u.Addr.String()
	out.RequestURI = ""
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	// net/http repeats a request by itself if a reused connection breaks, even a POST if it has an
	// Idempotency-Key and no body, so that the request might run twice. It does not repeat a request whose body
	// cannot be rewound.
	if out.Body != http.NoBody || !idempotent(r.Method) {
		out.Body = body
	}
	out.GetBody = nil
	return h.transport.RoundTrip(out)
}

// copyAnswer streams the answer to the caller. If the answer ends early, it aborts the caller's connection,
// because the caller would otherwise take a partial answer for the complete one.
func (h *Handler) copyAnswer(w http.ResponseWriter, res *http.Response) {
	defer func() { _ = res.Body.Close() }()
	for _, name := range hopByHopHeaders {
		res.Header.Del(name)
	}
	for k, v := range res.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(res.StatusCode)
	if err := h.copyBody(w, res.Body); err != nil {
		h.stats.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	h.stats.Answered.Add(1)
}

func (h *Handler) copyBody(w http.ResponseWriter, body io.Reader) error {
	buf, _ := h.buffers.Get().(*[]byte)
	defer h.buffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// trackedBody is a request body that records whether any of it was read, and stays open after a failed attempt.
type trackedBody struct {
	body    io.ReadCloser
	started atomic.Bool // at least one byte was read
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.started.Store(true)
	}
	return n, err
}

// Close does nothing: the next attempt needs the body, and the server closes it.
func (b *trackedBody) Close() error { return nil }
