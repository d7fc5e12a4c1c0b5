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

// upstreamFunc answers one connection's requests by hand.
type upstreamFunc func(conn net.Conn, r *http.Request)

func listen(t *testing.T, f upstreamFunc) netip.AddrPort {
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

func entry(t *testing.T, calls int, ups ...netip.AddrPort) (*Handler, string) {
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

func call(t *testing.T, method, url, body string) (*http.Response, string, error) {
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

func refusing(conn net.Conn, _ *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

func accepting(conn net.Conn, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+string(body))
}

// The upstream ends its connection in the middle of the answer. The caller must see a
// broken connection: half an answer that looks whole would be taken for the whole.
func TestCutAnswerIsNotPassedOnAsWhole(t *testing.T) {
	for name, head := range map[string]string{
		"by length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h, url := entry(t, 10, listen(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, head) }))
			if _, body, err := call(t, http.MethodGet, url, ""); err == nil {
				t.Errorf("the caller took %q for the whole answer", body)
			}
			if h.Stats().Truncated.Load() != 1 || h.Stats().Answered.Load() != 0 {
				t.Error("not counted as cut")
			}
		})
	}
}

// The upstream takes a claim, runs it and dies before it answers. Nobody knows whether it
// ran, so the caller hears "unknown" and the claim is not sent to the other upstream.
func TestLostAnswerIsUnknownAndRunsOnce(t *testing.T) {
	var ran atomic.Int64
	dying := func(_ net.Conn, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		ran.Add(1)
	}
	_, url := entry(t, 10, listen(t, dying), listen(t, dying))
	res, body, err := call(t, http.MethodPost, url, "keg")
	if err != nil || res.StatusCode != http.StatusBadGateway || !strings.Contains(body, "SP1305") {
		t.Fatal(res, body, err)
	}
	if ran.Load() != 1 {
		t.Errorf("the claim ran %d times", ran.Load())
	}
}

// Every upstream refuses without starting, or cannot be reached: "not run" is true, and
// the caller is told when to come back. With one that has room, the caller notices nothing.
func TestRefusals(t *testing.T) {
	closed := netip.MustParseAddrPort("127.0.0.1:1")
	h, url := entry(t, 10, listen(t, refusing), closed)
	res, body, err := call(t, http.MethodPost, url, "")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !strings.Contains(body, "SP1304") {
		t.Fatal(res, body, err)
	}
	if h.Stats().Attempts.Load() != 2 {
		t.Error(h.Stats().Attempts.Load(), "attempts")
	}
	_, url = entry(t, 10, listen(t, refusing), closed, listen(t, accepting))
	if res, _, err := call(t, http.MethodPost, url, ""); err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	_, url = entry(t, 10, listen(t, accepting))
	if _, body, err := call(t, http.MethodPost, url, "keg"); err != nil || body != "keg" {
		t.Fatal(body, err)
	}
}

// A customer's calls are over its limit, a service is unknown, an entry is leaving or has
// just started: each is refused by its own problem type before anything reaches an upstream.
func TestRefusedBeforeAnyUpstream(t *testing.T) {
	var reached atomic.Int64
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	slow := listen(t, func(conn net.Conn, r *http.Request) {
		reached.Add(1)
		started <- struct{}{}
		<-release
		accepting(conn, r)
	})
	h, url := entry(t, 1, slow)
	first := make(chan error, 1)
	go func() {
		_, _, err := call(t, http.MethodGet, url, "")
		first <- err
	}()
	<-started
	if _, body, _ := call(t, http.MethodGet, url, ""); !strings.Contains(body, "SP1303") {
		t.Error("limit:", body)
	}
	h.Drain()
	if _, body, _ := call(t, http.MethodGet, url, ""); !strings.Contains(body, "SP1306") {
		t.Error("leaving:", body)
	}
	if h.OpenCalls() != 1 {
		t.Error(h.OpenCalls(), "calls open")
	}
	close(release)
	if err := <-first; err != nil {
		t.Error("a call in progress was cut by the stop:", err)
	}
	if reached.Load() != 1 {
		t.Error(reached.Load(), "calls reached the upstream")
	}
	fresh := New(Config{View: func() *stoatview.View { return nil }, Clock: time.Now})
	w := httptest.NewRecorder()
	fresh.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if !strings.Contains(w.Body.String(), "SP1301") {
		t.Error("fresh:", w.Body)
	}
}

// A caller leaves in the middle of its upload. The slot is free again, whatever the upstream does.
func TestCallerGone(t *testing.T) {
	done := make(chan struct{})
	h, url := entry(t, 10, listen(t, func(_ net.Conn, r *http.Request) {
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
		t.Error("an upload cut by its caller was answered")
	}
	<-done
	for h.OpenCalls() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.inflight) != 0 || h.customers["sawt"].calls != 0 {
		t.Error("a slot is still taken", h.inflight)
	}
}
