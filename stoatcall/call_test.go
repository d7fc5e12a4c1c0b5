package stoatcall

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// upstreamFunc answers the first request of a connection.
type upstreamFunc func(conn net.Conn, r *http.Request)

func startUpstream(t *testing.T, f upstreamFunc) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					f(conn, r)
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func startEntry(t *testing.T, calls int, ups ...netip.AddrPort) (*Handler, string) {
	c := stoatpaddle.Contract{
		Customer: "sawt", Limits: stoatpaddle.Limits{Flows: 1, OpenRate: 1, Calls: calls, CallRate: 1000},
		Services: []stoatpaddle.Service{{ID: "ledger", Kind: stoatpaddle.KindCall, Host: "ledger.example"}},
	}
	for i, addr := range ups {
		c.Services[0].Upstreams = append(c.Services[0].Upstreams, stoatpaddle.Upstream{
			ID: stoatpaddle.UpstreamID(rune('a' + i)), DataCentre: "ruwi", Addr: addr, Weight: 1, Slots: 3,
		})
	}
	v := stoatview.Next(nil, time.Unix(0, 0), stoatview.Input{Self: "e", Contracts: []stoatpaddle.Contract{c}})
	h := New(Config{View: func() *stoatview.View { return v }, Clock: func() time.Time { return time.Unix(1, 0) }, Seed: 1})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return h, srv.URL
}

func sendRequest(t *testing.T, method, url, body string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, url+"/claim", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "ledger.example"
	res, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

func refuseCall(conn net.Conn, _ *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

func echoBody(conn net.Conn, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+string(body))
}

// The upstream closes its connection in the middle of the answer. The caller must see a broken connection,
// because it would otherwise take the partial answer for the complete one.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	for name, partial := range map[string]string{
		"by length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h, url := startEntry(t, 10, startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, partial) }))
			if _, body, err := sendRequest(t, http.MethodGet, url, ""); err == nil {
				t.Errorf("the caller took %q for the complete answer", body)
			}
			if h.Stats().Truncated.Load() != 1 || h.Stats().Answered.Load() != 0 {
				t.Error("not counted as truncated")
			}
		})
	}
}

// An upstream runs a call and dies before it answers. The entry cannot know whether the call ran, so it must
// answer "outcome unknown" and must not send the call to the other upstream.
func TestUnansweredCallIsNotRetried(t *testing.T) {
	var ran atomic.Int64
	dieUnanswered := func(_ net.Conn, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		ran.Add(1)
	}
	_, url := startEntry(t, 10, startUpstream(t, dieUnanswered), startUpstream(t, dieUnanswered))
	res, body, err := sendRequest(t, http.MethodPost, url, "keg")
	if err != nil || res.StatusCode != http.StatusBadGateway || !strings.Contains(body, "SP1305") {
		t.Fatal(res, body, err)
	}
	if ran.Load() != 1 {
		t.Errorf("the call ran %d times", ran.Load())
	}
}

// Every upstream refuses the call without starting it, or cannot be reached. The caller must get "not run" and
// a Retry-After. If another upstream has a free slot, the caller must get its answer instead.
func TestRefusals(t *testing.T) {
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	h, url := startEntry(t, 10, startUpstream(t, refuseCall), unreachable)
	res, body, err := sendRequest(t, http.MethodPost, url, "")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !strings.Contains(body, "SP1304") {
		t.Fatal(res, body, err)
	}
	if h.Stats().Attempts.Load() != 2 {
		t.Error(h.Stats().Attempts.Load(), "attempts")
	}
	_, url = startEntry(t, 10, startUpstream(t, refuseCall), unreachable, startUpstream(t, echoBody))
	if res, _, err := sendRequest(t, http.MethodPost, url, ""); err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	_, url = startEntry(t, 10, startUpstream(t, echoBody))
	if _, body, err := sendRequest(t, http.MethodPost, url, "keg"); err != nil || body != "keg" {
		t.Fatal(body, err)
	}
}

// A customer's calls exceed its limit, or the entry is leaving or has just started. The call must be refused
// with the problem type of its reason, and must not reach an upstream.
func TestRefusedBeforeAnyUpstream(t *testing.T) {
	var reached atomic.Int64
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	blocking := startUpstream(t, func(conn net.Conn, r *http.Request) {
		reached.Add(1)
		started <- struct{}{}
		<-release
		echoBody(conn, r)
	})
	h, url := startEntry(t, 1, blocking)
	first := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(t, http.MethodGet, url, "")
		first <- err
	}()
	<-started
	if _, body, _ := sendRequest(t, http.MethodGet, url, ""); !strings.Contains(body, "SP1303") {
		t.Error("limit:", body)
	}
	h.Drain()
	if _, body, _ := sendRequest(t, http.MethodGet, url, ""); !strings.Contains(body, "SP1306") {
		t.Error("leaving:", body)
	}
	if h.OpenCalls() != 1 {
		t.Error(h.OpenCalls(), "calls open")
	}
	close(release)
	if err := <-first; err != nil {
		t.Error("the stop ended a call in progress:", err)
	}
	if reached.Load() != 1 {
		t.Error(reached.Load(), "calls reached the upstream")
	}
	unconfigured := New(Config{View: func() *stoatview.View { return nil }, Clock: time.Now})
	w := httptest.NewRecorder()
	unconfigured.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if !strings.Contains(w.Body.String(), "SP1301") {
		t.Error("unconfigured:", w.Body)
	}
}

// A caller disconnects in the middle of its upload. The slot must become free again, whatever the upstream does.
func TestCallerDisconnects(t *testing.T) {
	done := make(chan struct{})
	h, url := startEntry(t, 10, startUpstream(t, func(_ net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(done)
	}))
	r, w := io.Pipe()
	req, err := http.NewRequest(http.MethodPut, url, r)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "ledger.example"
	go func() {
		_, _ = io.WriteString(w, "half a photo")
		_ = w.CloseWithError(errors.ErrUnsupported)
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Error("an upload that its caller aborted was answered")
	}
	<-done
	for h.OpenCalls() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.openByUpstream) != 0 || h.customers["sawt"].calls != 0 {
		t.Error("a slot is still taken", h.openByUpstream)
	}
}
