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

// seekTimeout bounds one question to another entry: behind a cut it would hang. A slow one
// answers within some tens of milliseconds.
const seekTimeout = 500 * time.Millisecond

// followClient asks other entries. A connection is not used again: it may have gone silent.
var followClient = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: seekTimeout}).DialContext,
	DisableKeepAlives: true, DisableCompression: true,
}}

// parentCancel ends the listening of one search.
type parentCancel struct {
	mu     sync.Mutex
	serial int
	cancel context.CancelCauseFunc
}

func (p *parentCancel) set(serial int, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial, p.cancel = serial, cancel
}

func (p *parentCancel) leave(x leave) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serial == x.serial && p.cancel != nil {
		p.cancel(&leftError{why: x.why})
	}
}

// leftError reports that this entry left its parent.
type leftError struct{ why string }

// Error tells why.
func (e *leftError) Error() string { return "left: " + e.why }

// refusedError reports that an entry tells nothing.
type refusedError struct {
	addr   netip.AddrPort
	reason string
}

// Error names the entry and its reason.
func (e *refusedError) Error() string { return e.addr.String() + " refused: " + e.reason }

// goneError reports an entry that does not answer, or does not go on.
type goneError struct {
	addr  netip.AddrPort
	cause error
}

// Error names the entry and the cause.
func (e *goneError) Error() string { return e.addr.String() + " tells nothing: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *goneError) Unwrap() error { return e.cause }

// silentError reports a parent of which nothing was heard.
type silentError struct{ after time.Duration }

// Error tells for how long.
func (e *silentError) Error() string { return "silent for " + e.after.String() }

// seek searches for a parent, listens to the first that accepts, and reports the end.
func (e *Edge) seek(ctx context.Context, x seek) {
	e.waitForTable()
	var cause error = &refusedError{reason: "nobody to ask"}
	e.place.mu.Lock()
	e.place.tree.SetSeeds(e.settings().Seeds)
	e.place.tree.StartSearch()
	e.place.mu.Unlock()
	for ctx.Err() == nil {
		e.place.mu.Lock()
		addr, ask, ok := e.place.tree.NextCandidate()
		e.place.mu.Unlock()
		if !ok {
			break
		}
		ask.Position, ask.MaxAge = x.known, x.within
		accepted, err := e.hear(ctx, x.serial, addr, ask)
		cause = err
		if accepted {
			break
		}
	}
	if e.ctx.Err() != nil {
		return
	}
	e.pool.HandleParentUpdate(clock(), netip.AddrPort{}, stoatoutlier.Update{})
	e.givePlace(netip.AddrPort{}, stoatfilter.EntryRank{})
	if left := context.Cause(ctx); left != nil {
		cause = left
	}
	e.post(parentLost{serial: x.serial, cause: cause})
}

// hear asks one entry, and takes in what it tells until that ends; accepted tells whether
// it told anything.
func (e *Edge) hear(parent context.Context, serial int, addr netip.AddrPort, ask stoattree.JoinRequest) (accepted bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(seekTimeout, func() { cancel(&silentError{after: seekTimeout}) })
	defer watchdog.Stop()
	res, err := e.askEntry(ctx, addr, ask)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	dec := msgpack.NewDecoder(bufio.NewReader(&stoatcount.Reader{R: res.Body, Count: &e.place.heard}))
	if res.StatusCode != http.StatusOK {
		return false, e.refused(addr, dec)
	}
	for {
		h, body, err := stoatrelay.Read(dec)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return accepted, &goneError{addr: addr, cause: err}
		}
		silence := stoatfeed.Fraction(e.settings().MaxDelay(), silenceShare)
		watchdog.Stop()
		watchdog = time.AfterFunc(silence, func() { cancel(&silentError{after: silence}) })
		accepted = true
		if err := e.takeNews(serial, addr, h, body); err != nil {
			return true, err
		}
	}
}

func (e *Edge) askEntry(ctx context.Context, addr netip.AddrPort, ask stoattree.JoinRequest) (*http.Response, error) {
	url := "http://" + addr.String() + pathNews + "?" + writeAsk(ask)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &goneError{addr: addr, cause: err}
	}
	res, err := followClient.Do(req)
	if err != nil {
		return nil, &goneError{addr: addr, cause: err}
	}
	return res, nil
}

// refused takes in whom an entry that refused names instead.
func (e *Edge) refused(addr netip.AddrPort, dec *msgpack.Decoder) error {
	var w stoatrelay.Refusal
	if err := dec.Decode(&w); err != nil {
		return &stoatpaddle.DecodeError{What: "a refusal of " + addr.String(), Cause: err}
	}
	try, err := stoatrelay.ParseAddrs(w.Alternatives)
	if err != nil {
		return err
	}
	e.place.mu.Lock()
	e.place.tree.AddCandidates(try)
	e.place.mu.Unlock()
	return &refusedError{addr: addr, reason: w.Reason}
}

// takeNews hands a parent's message to the keeper, or tells why the parent is to be left.
func (e *Edge) takeNews(serial int, addr netip.AddrPort, h *stoatrelay.Head, w *stoatrelay.Body) error {
	m, err := stoatrelay.Decode(h, w)
	if err != nil {
		return err
	}
	x := update{
		serial: serial, from: addr.String(), path: m.Path, known: m.Position, era: m.Era, age: m.Age, whole: m.Full, delta: m.Delta,
		upstreams: m.Upstreams, evacuations: m.Evacuations,
	}
	relatives, err := stoatrelay.ParseAddrs(h.Siblings)
	if err != nil {
		return err
	}
	e.place.mu.Lock()
	e.place.tree.SetSiblings(relatives)
	looped := e.place.tree.FormsLoop(x.path)
	e.place.mu.Unlock()
	if looped {
		return &refusedError{addr: addr, reason: string(stoattree.Loop)}
	}
	if stoatpaddle.DataCentreID(h.Centre) == e.settings().DataCentre {
		now := clock()
		e.pool.HandleParentUpdate(now, addr, stoatoutlier.Update{Full: h.FullReports, Reports: stoatoutlier.Decode(now, h.Reports)})
		e.givePlace(addr, stoatfilter.EntryRank{Rank: h.Rank, Entries: h.DataCentreEntries})
		e.notice()
	} else {
		e.pool.HandleParentUpdate(clock(), netip.AddrPort{}, stoatoutlier.Update{})
		e.givePlace(netip.AddrPort{}, stoatfilter.EntryRank{})
	}
	e.post(x)
	return nil
}
