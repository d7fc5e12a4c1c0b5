package stoatprocess_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatprocess"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Guards against an entry that a hangup signal ends because it comes while the entry starts. Here it comes with the first
// call to the platform, which gets no answer.
func TestHangupDuringStart(t *testing.T) {
	var once sync.Once
	received := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Error(err)
			}
			close(received)
		})
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	free := func() netip.AddrPort {
		a, err := stoatfake.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	file := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte("[instance]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	set := stoatsetting.Settings{
		Instance: "e", DataCentre: "here", LogLevel: "info", PlatformAddr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")),
		TunnelAddr: free(), ReadyAddr: free(), AdminAddr: free(), MaxApplyDelay: 600 * time.Millisecond, GracePeriod: 500 * time.Millisecond,
		FlowLifetime: time.Minute, StopDeadline: 1600 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- stoatprocess.Run(ctx, stoatprocess.Config{File: file, Text: []byte("[instance]\n"), Settings: set, Log: io.Discard})
	}()
	<-received
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
