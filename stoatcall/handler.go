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
	answerTimeout = 30 * time.Second
	dialTimeout   = 2 * time.Second
	// maxAttempts bounds the upstreams that one call tries.
	maxAttempts = 3
	copyBuffer  = 64 << 10
	// comeBack is the Retry-After of a refusal, seconds.
	comeBack = 1
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
	cfg       Config
	transport *http.Transport
	mu        sync.Mutex
	rnd       *rand.Rand
	inflight  map[stoatpaddle.UpstreamKey]int
	customers map[stoatpaddle.CustomerID]*customer
	stopping  atomic.Bool
	open      atomic.Int64
	stats     Stats
	buffers   sync.Pool
}

// customer is one customer's use of this entry.
type customer struct {
	calls  int
	tokens float64
	filled time.Time
}

// Stats counts how calls ended.
type Stats struct {
	Answered       atomic.Int64
	Refused        atomic.Int64
	UnknownOutcome atomic.Int64
	Truncated      atomic.Int64
	Attempts       atomic.Int64
}

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{
		cfg: cfg,
		transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: answerTimeout,
			MaxIdleConnsPerHost:   16,
			DisableCompression:    true,
		},
		rnd:       rand.New(rand.NewPCG(cfg.Seed, 2)),
		inflight:  map[stoatpaddle.UpstreamKey]int{},
		customers: map[stoatpaddle.CustomerID]*customer{},
		buffers:   sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }},
	}
}

// Drain makes the handler refuse new calls; those in progress go on.
func (h *Handler) Drain() { h.stopping.Store(true) }

// OpenCalls returns the number of calls in progress.
func (h *Handler) OpenCalls() int { return int(h.open.Load()) }

// Stats returns the handler's counters.
func (h *Handler) Stats() *Stats { return &h.stats }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
		h.refuse(w, ProblemStopping, http.StatusServiceUnavailable, "")
		return
	}
	v := h.cfg.View()
	if v == nil {
		h.refuse(w, ProblemNotReady, http.StatusServiceUnavailable, "")
		return
	}
	svc := v.CallService(hostOf(r))
	if svc == nil {
		h.stats.Refused.Add(1)
		refuse(w, ProblemNoService, http.StatusMisdirectedRequest, 0, r.Host)
		return
	}
	if !h.admit(v, svc) {
		h.refuse(w, ProblemOverLimit, http.StatusTooManyRequests, svc.Ref.String())
		return
	}
	defer h.leave(svc)
	h.call(w, r, svc)
}

func (h *Handler) refuse(w http.ResponseWriter, e *stoatevent.Definition, status int, detail string) {
	h.stats.Refused.Add(1)
	refuse(w, e, status, comeBack, detail)
}

func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// admit counts the call against this entry's equal part of the customer's limits.
func (h *Handler) admit(v *stoatview.View, svc *stoatview.Service) bool {
	now := h.cfg.Clock()
	entries := max(1, len(v.Entries.Members))
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.customers[svc.Ref.Customer]
	rate := max(1, float64(svc.Limits.CallRate)/float64(entries))
	if c == nil {
		c = &customer{tokens: rate, filled: now}
		h.customers[svc.Ref.Customer] = c
	}
	c.tokens = min(rate, c.tokens+rate*now.Sub(c.filled).Seconds())
	c.filled = now
	if c.calls >= max(1, svc.Limits.Calls/entries) || c.tokens < 1 {
		return false
	}
	c.tokens--
	c.calls++
	return true
}

func (h *Handler) leave(svc *stoatview.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.customers[svc.Ref.Customer].calls--
}

// call tries upstreams until one runs the request.
func (h *Handler) call(w http.ResponseWriter, r *http.Request, svc *stoatview.Service) {
	body := &trackedBody{rc: r.Body}
	tried := map[stoatpaddle.UpstreamKey]bool{}
	for range maxAttempts {
		u := h.pick(svc, tried)
		if u == nil {
			break
		}
		tried[u.Key] = true
		h.stats.Attempts.Add(1)
		res, err := h.send(r, u, body)
		if err == nil && !notRun(res) {
			h.finish(w, res, u)
			return
		}
		h.drop(u)
		if err != nil && !provablyNotRun(err) && !idempotent(r.Method) {
			h.stats.UnknownOutcome.Add(1)
			refuse(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "")
			return
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if res != nil {
			_ = res.Body.Close()
		}
		// A body that was read in part cannot be sent to another upstream.
		if body.touched.Load() {
			h.afterBody(w, err)
			return
		}
	}
	h.refuse(w, ProblemNoCapacity, http.StatusServiceUnavailable, svc.Ref.String())
}

// finish passes the answer on; the deferred drop also runs when a cut answer aborts.
func (h *Handler) finish(w http.ResponseWriter, res *http.Response, u *stoatview.Upstream) {
	defer h.drop(u)
	h.answer(w, res)
}

func (h *Handler) afterBody(w http.ResponseWriter, err error) {
	if err == nil || provablyNotRun(err) {
		h.refuse(w, ProblemNoCapacity, http.StatusServiceUnavailable, "")
		return
	}
	h.stats.UnknownOutcome.Add(1)
	refuse(w, ProblemUnknownOutcome, http.StatusBadGateway, 0, "")
}

func notRun(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) != ""
}

// provablyNotRun tells whether the connection was never made, so that no byte left.
func provablyNotRun(err error) bool {
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

// pick takes the upstream with the fewest calls from here for its weight, at random among equals.
func (h *Handler) pick(svc *stoatview.Service, tried map[stoatpaddle.UpstreamKey]bool) *stoatview.Upstream {
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
		if tried[u.Key] || h.inflight[u.Key] >= u.Slots {
			continue
		}
		if best == nil || h.inflight[u.Key]*int(best.Weight) < h.inflight[best.Key]*int(u.Weight) {
			best = u
		}
	}
	if best != nil {
		h.inflight[best.Key]++
	}
	return best
}

func (h *Handler) drop(u *stoatview.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inflight[u.Key]--; h.inflight[u.Key] == 0 {
		delete(h.inflight, u.Key)
	}
}

// hopHeaders belong to one connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
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
	for _, name := range hopHeaders {
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

// answer streams the answer back. One that is cut short aborts the caller's connection:
// passed on as if complete, the caller would take half an answer for the whole.
func (h *Handler) answer(w http.ResponseWriter, res *http.Response) {
	defer func() { _ = res.Body.Close() }()
	for _, name := range hopHeaders {
		res.Header.Del(name)
	}
	for k, v := range res.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(res.StatusCode)
	if err := h.stream(w, res.Body); err != nil {
		h.stats.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	h.stats.Answered.Add(1)
}

func (h *Handler) stream(w http.ResponseWriter, body io.Reader) error {
	buf, _ := h.buffers.Get().(*[]byte)
	defer h.buffers.Put(buf)
	flush := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			_ = flush.Flush()
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
	rc      io.ReadCloser
	touched atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if n > 0 {
		b.touched.Store(true)
	}
	return n, err
}

// Close leaves the body open for the next attempt; the server closes it.
func (b *trackedBody) Close() error { return nil }
