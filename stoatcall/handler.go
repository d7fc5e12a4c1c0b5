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

// HeaderNotRun is set by an upstream that refused a call without starting it.
const HeaderNotRun = "Not-Run"

const (
	responseHeaderTimeout = 30 * time.Second
	dialTimeout           = 2 * time.Second
	// maxAttempts bounds the upstreams that one call tries.
	maxAttempts    = 3
	copyBufferSize = 64 << 10
	// retryAfterSeconds is the Retry-After of a refusal, seconds.
	retryAfterSeconds = 1
)

// Clock tells the present time; the entry's is the machine's.
type Clock func() time.Time

// Config configures a Handler.
type Config struct {
	View  func() *stoatview.View
	Clock Clock
	Seed  uint64
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	cfg            Config
	transport      *http.Transport
	mu             sync.Mutex
	rnd            *rand.Rand
	openByUpstream map[stoatpaddle.UpstreamKey]int
	customers      map[stoatpaddle.CustomerID]*customerUsage
	stopping       atomic.Bool
	openCalls      atomic.Int64
	stats          Stats
	buffers        sync.Pool
}

// customerUsage is one customerUsage's use of this entry.
type customerUsage struct {
	calls      int
	tokens     float64
	refilledAt time.Time
}

// Stats counts how calls ended.
type Stats struct {
	Answered atomic.Int64
	Refused  atomic.Int64
	Unknown  atomic.Int64
	Cut      atomic.Int64
	Attempts atomic.Int64
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

// Stop makes the handler refuse new calls; those in progress go on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Open returns the number of calls in progress.
func (h *Handler) Open() int { return int(h.openCalls.Load()) }

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
		h.refuseRetryable(w, ProblemLimit, http.StatusTooManyRequests, svc.Ref.String())
		return
	}
	defer h.releaseCall(svc)
	h.tryUpstreams(w, r, svc)
}

func (h *Handler) refuseRetryable(w http.ResponseWriter, e *stoatevent.Entry, status int, detail string) {
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

// admitCall counts the call against this entry's equal part of the customer's limits.
func (h *Handler) admitCall(v *stoatview.View, svc *stoatview.Service) bool {
	now := h.cfg.Clock()
	entries := max(1, len(v.Entries.Members))
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[svc.Ref.Customer]
	rate := max(1, float64(svc.Limits.Rate)/float64(entries))
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

// tryUpstreams tries upstreams until one runs the request.
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
			h.stats.Unknown.Add(1)
			writeProblem(w, ProblemUnknown, http.StatusBadGateway, 0, "")
			return
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if res != nil {
			_ = res.Body.Close()
		}
		// A body that was read in part cannot be sent to another upstream.
		if body.started.Load() {
			h.refuseBodyRead(w, err)
			return
		}
	}
	h.refuseRetryable(w, ProblemBusy, http.StatusServiceUnavailable, svc.Ref.String())
}

// forwardAnswer passes the answer on; the deferred drop also runs when a cut answer aborts.
func (h *Handler) forwardAnswer(w http.ResponseWriter, res *http.Response, u *stoatview.Upstream) {
	defer h.releaseUpstream(u)
	h.copyAnswer(w, res)
}

func (h *Handler) refuseBodyRead(w http.ResponseWriter, err error) {
	if err == nil || dialFailed(err) {
		h.refuseRetryable(w, ProblemBusy, http.StatusServiceUnavailable, "")
		return
	}
	h.stats.Unknown.Add(1)
	writeProblem(w, ProblemUnknown, http.StatusBadGateway, 0, "")
}

func refusedByUpstream(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) != ""
}

// dialFailed tells whether the connection was never made, so that no byte left.
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

// acquireUpstream takes the upstream with the fewest calls from here for its weight, at random among equals.
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

// hopByHopHeaders belong to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// send passes the request on.
func (h *Handler) send(r *http.Request, u *stoatview.Upstream, body *trackedBody) (*http.Response, error) {
	ctx := r.Context()
	if !idempotent(r.Method) {
		// A caller that leaves does not stop what may be half done.
		ctx = context.WithoutCancel(ctx)
	}
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = u.Addr.String()
	out.RequestURI = ""
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	// net/http sends a request again by itself when a reused connection breaks, also a
	// POST if it bears an Idempotency-Key and no body: it might run twice. A body that
	// cannot be rewound keeps it from doing so.
	if out.Body != http.NoBody || !idempotent(r.Method) {
		out.Body = body
	}
	out.GetBody = nil
	return h.transport.RoundTrip(out)
}

// copyAnswer streams the copyAnswer back. One that is cut short aborts the caller's connection:
// passed on as if complete, the caller would take half an copyAnswer for the whole.
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
		h.stats.Cut.Add(1)
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

// trackedBody notes whether a byte of the request's body was read; it survives a failed attempt.
type trackedBody struct {
	body    io.ReadCloser
	started atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.started.Store(true)
	}
	return n, err
}

// Close leaves the body open for the next attempt; the server closes it.
func (b *trackedBody) Close() error { return nil }
