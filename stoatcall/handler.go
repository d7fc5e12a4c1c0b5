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
	"github.com/stoatpaddle/stoatpaddle/stoatload"
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
)

// Clock returns the current time.
type Clock func() time.Time

// Config configures a Handler.
type Config struct {
	View     func() *stoatview.View
	Clock    Clock
	Seed     uint64
	Instance stoatpaddle.InstanceID // begins the ids of refused calls
	Events   stoatevent.Sink        // receives the log lines; nil: none are written
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	cfg            Config
	transport      *http.Transport
	mu             sync.Mutex // guards rnd, openByUpstream, customers, services and groups
	rnd            *rand.Rand
	openByUpstream map[slot]int // calls in progress
	customers      map[stoatpaddle.CustomerID]*customerUsage
	services       map[stoatpaddle.ServiceRef]*serviceUsage
	groups         map[stoatpaddle.ServiceRef]*group
	ids            atomic.Uint64 // of refused calls
	sampler        *stoatevent.Sampler
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
	ended      stoatload.Rate
	byRate     turns // of calls refused by the limit on calls a second
	byCalls    turns // of calls refused by the limit on calls in progress
}

// serviceUsage is what the handler knows of the calls of one service.
type serviceUsage struct {
	answered stoatload.Rate
	refused  turns // of calls that found no upstream with room
}

// Stats are the counters of a Handler.
type Stats struct {
	Answered       atomic.Int64 // complete answers
	Refused        atomic.Int64 // calls that did not run
	UnknownOutcome atomic.Int64 // calls that may have run but got no answer
	Truncated      atomic.Int64 // answers that ended early
	Attempts       atomic.Int64 // upstreams tried
	RefusedBy      [RuleCount]atomic.Int64
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.Events == nil {
		cfg.Events = stoatevent.Discard{}
	}
	h := &Handler{
		cfg: cfg,
		transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: responseHeaderTimeout,
			MaxIdleConnsPerHost:   16,
			DisableCompression:    true,
		},
		rnd:            rand.New(rand.NewPCG(cfg.Seed, 2)),
		openByUpstream: map[slot]int{},
		customers:      map[stoatpaddle.CustomerID]*customerUsage{},
		services:       map[stoatpaddle.ServiceRef]*serviceUsage{},
		groups:         map[stoatpaddle.ServiceRef]*group{},
		sampler:        stoatevent.NewSampler(map[stoatevent.Number]int{EventCallRefused.Number: maxRefusalLines}),
		buffers:        sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }},
	}
	// The ids of a later run continue after those of this one, unless it refuses more than a thousand calls a second.
	h.ids.Store(uint64(cfg.Clock().UnixMilli()))
	return h
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
		h.refuse(w, refusal{rule: RuleStopping, retryAfter: minRetryAfter})
		return
	}
	v := h.cfg.View()
	if v == nil {
		h.refuse(w, refusal{rule: RuleNotReady, retryAfter: minRetryAfter})
		return
	}
	svc := v.CallService(authorityOf(r))
	if svc == nil {
		h.refuse(w, refusal{rule: RuleHost, detail: r.Host})
		return
	}
	if rule, seconds := h.admitCall(v, svc); rule != ruleNone {
		h.refuse(w, refusal{rule: rule, retryAfter: seconds, detail: svc.Ref.String(), service: svc})
		return
	}
	defer h.releaseCall(svc)
	h.tryUpstreams(w, r, svc)
}

func authorityOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// admitCall counts the call against the customer's limits, of which each entry enforces an equal part. It
// returns the rule and the Retry-After in seconds if the call exceeds one of them.
func (h *Handler) admitCall(v *stoatview.View, svc *stoatview.Service) (Rule, int) {
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
	switch {
	case c.calls >= max(1, svc.Limits.Calls/entries):
		return RuleCalls, c.byCalls.take(now, 0, c.ended.PerSecond(now, returnDecay))
	case c.tokens < 1:
		untilToken := time.Duration((1 - c.tokens) / rate * float64(time.Second))
		return RuleRate, c.byRate.take(now, untilToken, rate)
	}
	c.tokens--
	c.calls++
	return ruleNone, 0
}

func (h *Handler) releaseCall(svc *stoatview.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[svc.Ref.Customer]
	c.calls--
	c.ended.Add(h.cfg.Clock(), returnDecay)
}

// tryUpstreams tries upstreams until one runs the request. It does not try another one if the request may have
// run and is not idempotent.
func (h *Handler) tryUpstreams(w http.ResponseWriter, r *http.Request, svc *stoatview.Service) {
	body := &trackedBody{body: r.Body}
	t := h.begin(svc)
	for range maxAttempts {
		u := h.acquireUpstream(t)
		if u == nil {
			break
		}
		t.tried[u.Key] = true
		h.stats.Attempts.Add(1)
		res, err := h.send(r, u, body)
		h.recordAttempt(t, u, res, err)
		if err == nil && !refusedByUpstream(res) {
			h.forwardAnswer(w, res, slotOf(svc, u))
			return
		}
		h.releaseUpstream(slotOf(svc, u))
		if err != nil && !dialFailed(err) && !idempotent(r.Method) {
			h.stats.UnknownOutcome.Add(1)
			writeProblem(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "", "")
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
			h.refuseAfterBodyRead(w, t, err)
			return
		}
	}
	h.recordNoRoom(t)
	h.refuse(w, h.refusalOf(t))
}

// forwardAnswer copies the answer to the caller. The upstream is released in a deferred call because copyAnswer
// panics if the answer ends early.
func (h *Handler) forwardAnswer(w http.ResponseWriter, res *http.Response, s slot) {
	defer h.releaseUpstream(s)
	h.copyAnswer(w, res)
}

// refuseAfterBodyRead answers a call that cannot be tried again because part of its body was read.
func (h *Handler) refuseAfterBodyRead(w http.ResponseWriter, t *attempts, err error) {
	if t.rejected > 0 {
		h.recordRejection(t)
	}
	if err == nil || dialFailed(err) {
		r := h.refusalOf(t)
		r.detail = ""
		h.refuse(w, r)
		return
	}
	h.stats.UnknownOutcome.Add(1)
	writeProblem(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "", "")
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
func (h *Handler) acquireUpstream(t *attempts) *stoatview.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	ups := t.service.Set.Upstreams
	if len(ups) == 0 {
		return nil
	}
	var best *stoatview.Upstream
	start := h.rnd.IntN(len(ups))
	for i := range ups {
		u := ups[(start+i)%len(ups)]
		if t.tried[u.Key] || t.mustSpare(u) || h.openAt(t.service, u) >= u.Slots {
			continue
		}
		if best == nil || h.openAt(t.service, u)*int(best.Weight) < h.openAt(t.service, best)*int(u.Weight) {
			best = u
		}
	}
	if best != nil {
		h.openByUpstream[slotOf(t.service, best)]++
	}
	return best
}

func (h *Handler) releaseUpstream(s slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openByUpstream[s]--; h.openByUpstream[s] == 0 {
		delete(h.openByUpstream, s)
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
