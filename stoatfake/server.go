package stoatfake

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle/stoatcall"
)

// Server is a stand-in for an upstream of a call service: it runs a few calls at once and
// refuses the rest without starting them.
type Server struct {
	srv     *http.Server
	ln      net.Listener
	slots   int64
	service time.Duration
	running atomic.Int64
	ran     atomic.Int64
	shed    atomic.Int64
}

// NewServer starts a server with slots that each take service for a call.
func NewServer(group *errgroup.Group, slots int, service time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, slots: int64(slots), service: service}
	s.srv = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		_ = s.srv.Serve(ln)
		return nil
	})
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// Counts returns how many calls ran, and how many were refused.
func (s *Server) Counts() (ran, shed int64) { return s.ran.Load(), s.shed.Load() }

// Close ends the server at once.
func (s *Server) Close() { _ = s.srv.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.running.Add(-1)
	if s.running.Add(1) > s.slots {
		s.shed.Add(1)
		w.Header().Set(stoatcall.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.service)
	w.Header().Set("Received", strconv.FormatInt(n, 10))
	_, _ = io.WriteString(w, "accepted "+r.URL.Path+"\n")
}
