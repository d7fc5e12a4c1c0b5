package stoatedge

import (
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcount"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

// pathUpdates is where an entry requests updates from another one, which sends them until either side ends the
// connection.
const pathUpdates = "/v1/news"

// The query parameters of a request for updates.
const (
	paramFrom   = "from"
	paramCentre = "centre"
	paramKnown  = "known"  // the revision up to which the requesting entry knows everything
	paramEra    = "era"    // of paramKnown
	paramNear   = "near"   // set: only a parent in the same data centre will do
	paramWithin = "within" // ms; how old the state may be at most
	paramSkip   = "skip"   // the entries that were asked before
)

const (
	// keepaliveShare is the longest pause between two messages, as a share of the maximum delay until a change
	// is in force: half of the silence after which a child leaves its parent.
	keepaliveShare = 0.36
	// silenceShare is the silence after which a child leaves its parent, as a share of that delay. The rest of
	// the delay is for asking the platform itself.
	silenceShare = 0.72
)

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

// wait returns a channel that is closed by the next notify.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// relayState is this entry's state in the relay tree.
type relayState struct {
	mu           sync.Mutex // guards tree
	tree         *stoattree.Tree
	announced    atomic.Pointer[announcement]
	notifier     *notifier
	bodyCache    bodyCache
	observedSum  atomic.Pointer[[]stoatoutlier.Report] // what the entries of this data centre observed, added up
	sent         atomic.Int64                          // bytes to other entries
	received     atomic.Int64                          // bytes from parents
	search       searchCancel
	assigned     atomic.Pointer[assignedPlace] // nil: no parent in this data centre
	reportedSize atomic.Int64                  // the number of entries below this one that the parent knows; 0: none
}

func newRelayState(cfg stoattree.Config) *relayState {
	s := &relayState{tree: stoattree.New(cfg), notifier: newNotifier()}
	s.announced.Store(&announcement{})
	return s
}

// state returns what decides whether this entry can be a parent.
func (e *Edge) state() stoattree.State {
	s := e.relay.announced.Load()
	return stoattree.State{
		Ready: e.table.Load().Ready() && !e.stop.requested(), Position: s.known, Path: s.path, ReadsPlatform: s.reads,
		Age: ageAt(clock(), s.asOf),
	}
}

// ageAt returns how long ago something was; negative: never.
func ageAt(now, then time.Time) time.Duration {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then)
}

// ageMillis returns how long ago something was, in the form of stoatrelay.Head.AgeMS; -1: never. The duration that ageAt
// returns for never is less than a millisecond.
func ageMillis(now, then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Milliseconds()
}

// serveUpdates answers an entry that asks for updates: with a refusal, or with messages until either side
// ends the connection.
func (e *Edge) serveUpdates(w http.ResponseWriter, r *http.Request) {
	join, err := parseRequest(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.relay.mu.Lock()
	a := e.relay.tree.Admit(e.state(), join)
	e.relay.mu.Unlock()
	if a.Refusal != stoattree.Accepted {
		refuseRequest(w, a)
		return
	}
	e.log.emit(clock(), EventChildAccepted, stoatevent.F("child", join.From.String()), stoatevent.F("centre", string(join.Centre)), stoatevent.F("known", join.Position.String()))
	cause := e.streamUpdates(w, r, join)
	e.relay.mu.Lock()
	e.relay.tree.RemoveChild(join.From, a.Admission)
	_, admittedAgain := e.relay.tree.ChildCentre(join.From)
	e.relay.mu.Unlock()
	e.aggregator.RemoveChild(join.From)
	if !admittedAgain {
		e.loads.removeChild(join.From)
	}
	e.log.emit(clock(), EventChildLeft, stoatevent.F("child", join.From.String()), stoatevent.F("cause", cause))
}

func refuseRequest(w http.ResponseWriter, a stoattree.JoinResponse) {
	w.WriteHeader(http.StatusServiceUnavailable)
	// A client that has closed the connection asks another entry.
	_ = stoatrelay.EncodeRefusal(w, &stoatrelay.Refusal{Reason: string(a.Refusal), Alternatives: stoatrelay.FormatAddrs(a.Alternatives)})
}

// streamUpdates sends messages to a child until something ends the connection, and returns what did.
func (e *Edge) streamUpdates(w http.ResponseWriter, r *http.Request, join stoattree.JoinRequest) string {
	rc := http.NewResponseController(w)
	out := &stoatcount.Writer{W: w, Count: &e.relay.sent}
	var child stoatrelay.ChildState
	var reports stoatoutlier.DeltaTracker
	for {
		next, loads := e.relay.notifier.wait(), e.loads.waitForChange(join.Centre)
		if e.stop.requested() {
			return "this entry stops"
		}
		now, bound := clock(), e.settings().MaxDelay()
		msg, held, err := e.message(now, join, child, &reports)
		if err != nil {
			return err.Error()
		}
		// A child that does not read must not block this goroutine.
		_ = rc.SetWriteDeadline(now.Add(stoatfeed.Fraction(bound, silenceShare)))
		if _, err := out.Write(msg); err != nil {
			return err.Error()
		}
		if err := rc.Flush(); err != nil {
			return err.Error()
		}
		child = held
		if cause := e.waitForUpdate(r, next, loads, stoatfeed.Fraction(bound, keepaliveShare)); cause != "" {
			return cause
		}
	}
}

// message returns the next message for a child, encoded, and what the child holds after it.
func (e *Edge) message(now time.Time, join stoattree.JoinRequest, child stoatrelay.ChildState, reports *stoatoutlier.DeltaTracker) ([]byte, stoatrelay.ChildState, error) {
	// The announcement is loaded before the table, so that the table has at least what is announced.
	s, t := e.relay.announced.Load(), e.table.Load()
	body, err := e.relay.bodyCache.get(now, t, child)
	if err != nil {
		return nil, child, err
	}
	head, err := e.headFor(now, s, join, len(body) > 0, reports, t.Era)
	if err != nil {
		return nil, child, err
	}
	return append(head, body...), stoatrelay.ChildStateOf(t), nil
}

// waitForUpdate returns an empty string when there is a change or a message is due anyway, or else what ended
// the connection.
func (e *Edge) waitForUpdate(r *http.Request, next, loads <-chan struct{}, longest time.Duration) string {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-next:
	case <-loads:
	case <-timer.C:
	case <-r.Context().Done():
		return "the child closed the connection"
	case <-e.ctx.Done():
		return "this entry exits"
	}
	return ""
}

// headFor returns the head of a message to one child, encoded.
func (e *Edge) headFor(now time.Time, s *announcement, join stoattree.JoinRequest, body bool, reports *stoatoutlier.DeltaTracker, era stoatpaddle.Era) ([]byte, error) {
	h := stoatrelay.Head{
		PositionRevision: uint64(s.known.Revision), PositionEra: uint64(s.known.Era), Leads: s.leads, BodyEra: uint64(era), AgeMS: ageMillis(now, s.asOf), HasBody: body,
		Path: stoatrelay.FormatAddrs(append(s.path[:len(s.path):len(s.path)], e.settings().AdminAddr)),
	}
	h.Centre = string(e.settings().DataCentre)
	if sum := e.relay.observedSum.Load(); sum != nil && join.Centre == e.settings().DataCentre {
		if u, due := reports.Next(now, *sum, stoatoutlier.FirstWait); due {
			h.Reports, h.FullReports = stoatoutlier.Encode(now, u.Reports), u.Full
		}
	}
	e.loads.addTo(now, &h, join.Centre)
	e.relay.mu.Lock()
	h.Siblings = stoatrelay.FormatAddrs(e.relay.tree.Siblings(join.From, join.Centre))
	if own := e.ownPlace(); join.Centre == e.settings().DataCentre && own.Entries > 0 {
		h.Rank, h.DataCentreEntries = e.relay.tree.ChildRank(join.From, own.Rank), own.Entries
	}
	e.relay.mu.Unlock()
	return stoatrelay.Encode(&h)
}

// bodyCache keeps the last body, since children that hold the same state get the same body next.
type bodyCache struct {
	mu        sync.Mutex
	source    stoatrelay.ChildState // the table from which the body was encoded
	child     stoatrelay.ChildState
	encodedAt time.Time
	encoded   []byte
}

// bodyCacheTTL is how long a body is reused. It is short since a body says for how much longer upstreams are
// cold.
const bodyCacheTTL = 200 * time.Millisecond

// get returns what t has that a child does not, encoded; nil if there is nothing.
func (b *bodyCache) get(now time.Time, t *stoatroute.Table, child stoatrelay.ChildState) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.source == stoatrelay.ChildStateOf(t) && b.child == child && now.Sub(b.encodedAt) < bodyCacheTTL {
		return b.encoded, nil
	}
	var data []byte
	if w := stoatrelay.EncodeBody(now, t, child); w != nil {
		var err error
		if data, err = stoatrelay.Encode(w); err != nil {
			return nil, err
		}
	}
	b.source, b.child, b.encodedAt, b.encoded = stoatrelay.ChildStateOf(t), child, now, data
	return data, nil
}

// parseRequest decodes the query of a request for updates, or returns *stoatpaddle.DecodeError.
func parseRequest(q url.Values) (stoattree.JoinRequest, error) {
	fail := func(what string, err error) (stoattree.JoinRequest, error) {
		return stoattree.JoinRequest{}, &stoatpaddle.DecodeError{What: what, Cause: err}
	}
	from, err := netip.ParseAddrPort(q.Get(paramFrom))
	if err != nil {
		return fail(paramFrom, err)
	}
	known, err := strconv.ParseUint(q.Get(paramKnown), 10, 64)
	if err != nil {
		return fail(paramKnown, err)
	}
	var era uint64
	if text := q.Get(paramEra); text != "" {
		// An entry of the previous release sends no era.
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return fail(paramEra, err)
		}
	}
	within, err := strconv.ParseUint(q.Get(paramWithin), 10, 31)
	if err != nil {
		return fail(paramWithin, err)
	}
	a := stoattree.JoinRequest{
		From: from, Centre: stoatpaddle.DataCentreID(q.Get(paramCentre)),
		Position:  stoatpaddle.Position{Era: stoatpaddle.Era(era), Revision: stoatpaddle.Version(known)},
		LocalOnly: q.Get(paramNear) != "", MaxAge: time.Duration(within) * time.Millisecond,
	}
	if skip := q.Get(paramSkip); skip != "" {
		if a.Tried, err = stoatrelay.ParseAddrs(strings.Split(skip, ",")); err != nil {
			return fail(paramSkip, err)
		}
	}
	return a, nil
}

func encodeRequest(join stoattree.JoinRequest) string {
	q := url.Values{}
	q.Set(paramFrom, join.From.String())
	q.Set(paramCentre, string(join.Centre))
	q.Set(paramKnown, join.Position.Revision.String())
	q.Set(paramEra, join.Position.Era.String())
	q.Set(paramWithin, strconv.FormatInt(join.MaxAge.Milliseconds(), 10))
	if join.LocalOnly {
		q.Set(paramNear, "1")
	}
	q.Set(paramSkip, strings.Join(stoatrelay.FormatAddrs(join.Tried), ","))
	return q.Encode()
}
