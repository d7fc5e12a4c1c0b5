package stoatedge

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcount"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

// peerTimeout limits one request to another entry: without a limit, the request would hang if the network is
// cut. A slow entry answers within some tens of milliseconds.
const peerTimeout = 500 * time.Millisecond

// parentClient sends requests to other entries. It does not reuse connections, since one may have gone
// silent.
var parentClient = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: peerTimeout}).DialContext,
	DisableKeepAlives: true, DisableCompression: true,
}}

// searchCancel cancels one search, or the updates of the parent that it found.
type searchCancel struct {
	mu       sync.Mutex
	searchID int
	cancel   context.CancelCauseFunc
}

func (s *searchCancel) set(searchID int, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchID, s.cancel = searchID, cancel
}

func (s *searchCancel) leave(x leaveParent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searchID == x.searchID && s.cancel != nil {
		s.cancel(&leftError{why: x.why})
	}
}

// leftError reports that this entry left its parent.
type leftError struct{ why string }

// Error returns the reason.
func (e *leftError) Error() string { return "left the parent: " + e.why }

// refusedError reports that an entry refused to send updates.
type refusedError struct {
	addr   netip.AddrPort
	reason string
}

// Error names the entry and its reason.
func (e *refusedError) Error() string { return e.addr.String() + " refused: " + e.reason }

// unreachableError reports an entry that does not answer, or whose updates ended.
type unreachableError struct {
	addr  netip.AddrPort
	cause error
}

// Error names the entry and the cause.
func (e *unreachableError) Error() string {
	return e.addr.String() + " sends nothing: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.cause }

// silentError reports a parent that sent nothing for too long.
type silentError struct{ after time.Duration }

// Error returns the length of the silence.
func (e *silentError) Error() string { return "silent for " + e.after.String() }

// followParent searches for a parent, receives the updates of the first entry that accepts, and reports their
// end.
func (e *Edge) followParent(ctx context.Context, x findParent) {
	e.waitForTable()
	var cause error = &refusedError{reason: "no entry to ask"}
	e.relay.mu.Lock()
	e.relay.tree.SetSeeds(e.settings().Seeds)
	e.relay.tree.StartSearch()
	e.relay.mu.Unlock()
	for ctx.Err() == nil {
		e.relay.mu.Lock()
		addr, join, ok := e.relay.tree.NextCandidate()
		e.relay.mu.Unlock()
		if !ok {
			break
		}
		join.Position, join.MaxAge = x.known, x.maxAge
		accepted, err := e.receiveUpdates(ctx, x.searchID, addr, join)
		cause = err
		if accepted {
			break
		}
	}
	if e.ctx.Err() != nil {
		return
	}
	e.aggregator.HandleParentUpdate(clock(), netip.AddrPort{}, stoatoutlier.Update{})
	e.setPlace(netip.AddrPort{}, stoatfilter.EntryRank{})
	e.loads.parentLost(clock())
	if left := context.Cause(ctx); left != nil {
		cause = left
	}
	e.post(parentLost{searchID: x.searchID, cause: cause})
}

// receiveUpdates asks one entry for updates, and processes them until they end. Accepted reports whether it
// sent any.
func (e *Edge) receiveUpdates(parentCtx context.Context, searchID int, addr netip.AddrPort, join stoattree.JoinRequest) (accepted bool, err error) {
	ctx, cancel := context.WithCancelCause(parentCtx)
	defer cancel(nil)
	watchdog := time.AfterFunc(peerTimeout, func() { cancel(&silentError{after: peerTimeout}) })
	defer watchdog.Stop()
	res, err := e.requestUpdates(ctx, addr, join)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	dec := msgpack.NewDecoder(bufio.NewReader(&stoatcount.Reader{R: res.Body, Count: &e.relay.received}))
	if res.StatusCode != http.StatusOK {
		return false, e.handleRefusal(addr, dec)
	}
	for {
		h, body, err := stoatrelay.Read(dec)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return accepted, &unreachableError{addr: addr, cause: err}
		}
		silence := stoatfeed.Fraction(e.settings().MaxDelay(), silenceShare)
		watchdog.Stop()
		watchdog = time.AfterFunc(silence, func() { cancel(&silentError{after: silence}) })
		accepted = true
		if err := e.handleMessage(searchID, addr, h, body); err != nil {
			return true, err
		}
	}
}

func (e *Edge) requestUpdates(ctx context.Context, addr netip.AddrPort, join stoattree.JoinRequest) (*http.Response, error) {
	url := "http://" + addr.String() + pathUpdates + "?" + encodeRequest(join)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &unreachableError{addr: addr, cause: err}
	}
	res, err := parentClient.Do(req)
	if err != nil {
		return nil, &unreachableError{addr: addr, cause: err}
	}
	return res, nil
}

// handleRefusal records the entries that a refusal names as alternatives, and returns the refusal as an error.
func (e *Edge) handleRefusal(addr netip.AddrPort, dec *msgpack.Decoder) error {
	var w stoatrelay.Refusal
	if err := dec.Decode(&w); err != nil {
		return &stoatpaddle.DecodeError{What: "a refusal of " + addr.String(), Cause: err}
	}
	e.relay.mu.Lock()
	e.relay.tree.AddCandidates(stoatrelay.ReadableAddrs(w.Alternatives))
	e.relay.mu.Unlock()
	return &refusedError{addr: addr, reason: w.Reason}
}

// handleMessage passes a parent's message to the controller, or returns why the parent has to be left.
func (e *Edge) handleMessage(searchID int, addr netip.AddrPort, h *stoatrelay.Head, w *stoatrelay.Body) error {
	m, err := stoatrelay.Decode(h, w)
	if err != nil {
		return err
	}
	x := parentUpdate{
		searchID: searchID, parent: addr.String(), path: m.Path, known: m.Position, leads: m.Leads, era: m.Era, age: m.Age, whole: m.Full, delta: m.Delta,
		upstreams: m.Upstreams, unreadable: m.Unreadable, skipped: m.Skipped, evacuations: m.Evacuations,
	}
	e.relay.mu.Lock()
	e.relay.tree.SetSiblings(stoatrelay.ReadableAddrs(h.Siblings))
	looped := e.relay.tree.FormsLoop(x.path)
	e.relay.mu.Unlock()
	if looped {
		return &refusedError{addr: addr, reason: string(stoattree.Loop)}
	}
	if stoatpaddle.DataCentreID(h.Centre) == e.settings().DataCentre {
		now := clock()
		e.aggregator.HandleParentUpdate(now, addr, stoatoutlier.Update{Full: h.FullReports, Reports: stoatoutlier.Decode(now, h.Reports)})
		e.setPlace(addr, stoatfilter.EntryRank{Rank: h.Rank, Entries: h.DataCentreEntries})
		e.notifyObserved()
	} else {
		e.aggregator.HandleParentUpdate(clock(), netip.AddrPort{}, stoatoutlier.Update{})
		e.setPlace(netip.AddrPort{}, stoatfilter.EntryRank{})
	}
	e.loads.handleHead(clock(), addr, h)
	e.post(x)
	return nil
}
