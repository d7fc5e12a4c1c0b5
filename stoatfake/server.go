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

// Server is a stand-in for an upstream of a call service. It runs a few calls at once and rejects the others
// without running them.
type Server struct {
	srv         *http.Server
	ln          net.Listener
	slots       int64
	serviceTime time.Duration
	running     atomic.Int64
	ran         atomic.Int64
	rejected    atomic.Int64
}

// NewServer starts a server that runs as many calls at once as it has slots, each for the service time.
func NewServer(group *errgroup.Group, slots int, serviceTime time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, slots: int64(slots), serviceTime: serviceTime}
	s.srv = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		_ = s.srv.Serve(ln)
		return nil
	})
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// Counts returns how many calls were run and how many were rejected.
func (s *Server) Counts() (ran, rejected int64) { return s.ran.Load(), s.rejected.Load() }

// Close stops the server at once.
func (s *Server) Close() { _ = s.srv.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.running.Add(-1)
	if s.running.Add(1) > s.slots {
		s.rejected.Add(1)
		w.Header().Set(stoatcall.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.serviceTime)
	w.Header().Set("Received", strconv.FormatInt(n, 10))
	_, _ = io.WriteString(w, "accepted "+r.URL.Path+"\n")
}
