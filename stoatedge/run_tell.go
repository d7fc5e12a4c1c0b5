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

// pathNews is where an entry tells another one what it believes, for as long as it wants.
const pathNews = "/v1/news"

// The names of what an entry says when it asks.
const (
	askFrom   = "from"
	askCentre = "centre"
	askKnown  = "known"
	askEra    = "era" // of known
	askNear   = "near"
	askWithin = "within" // ms; how old the word may be at most
	askSkip   = "skip"
)

const (
	// keepaliveShare is how much of the bound passes between two messages at most: half of
	// the silence at which a child gives its parent up.
	keepaliveShare = 0.36
	// silenceShare is how long a child hears nothing until it gives its parent up. What is
	// left of the bound is for asking the platform itself.
	silenceShare = 0.72
)

// bell wakes everybody who waits for news.
type bell struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBell() *bell { return &bell{next: make(chan struct{})} }

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

// wait returns what is closed at the next ring.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// place is this entry's place among the others.
type place struct {
	mu        sync.Mutex // of tree
	tree      *stoattree.Tree
	announced atomic.Pointer[announcement]
	bell      *bell
	bodies    bodies
	seen      atomic.Pointer[[]stoatoutlier.Report] // the sum over this data centre
	sent      atomic.Int64                          // bytes to children
	heard     atomic.Int64                          // bytes from parents
	parent    parentCancel
	given     atomic.Pointer[givenPlace] // nil: no parent in this data centre
	sized     atomic.Int64               // how many entries below this one the parent was told of; 0: none
}

func newPlace(cfg stoattree.Config) *place {
	p := &place{tree: stoattree.New(cfg), bell: newBell()}
	p.announced.Store(&announcement{})
	return p
}

// state is what this entry is to one that asks.
func (e *Edge) state() stoattree.State {
	s := e.place.announced.Load()
	return stoattree.State{
		Ready: e.table.Load().Ready() && !e.stop.asked(), Position: s.known, Path: s.path, ReadsPlatform: s.reads,
		Age: ageAt(clock(), s.asOf),
	}
}

// ageAt is how long ago something was; negative: never.
func ageAt(now, then time.Time) time.Duration {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then)
}

// tellNews answers an entry that asks to be told: with a refusal, or with messages until
// either side ends.
func (e *Edge) tellNews(w http.ResponseWriter, r *http.Request) {
	ask, err := readAsk(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.place.mu.Lock()
	a := e.place.tree.Admit(e.state(), ask)
	e.place.mu.Unlock()
	if a.Refusal != stoattree.Accepted {
		refuseAsk(w, a)
		return
	}
	e.log.emit(clock(), EventChildAccepted, stoatevent.F("child", ask.From.String()), stoatevent.F("centre", string(ask.Centre)), stoatevent.F("known", ask.Position.String()))
	cause := e.tellChild(w, r, ask)
	e.place.mu.Lock()
	e.place.tree.RemoveChild(ask.From, a.Admission)
	e.place.mu.Unlock()
	e.pool.RemoveChild(ask.From)
	e.log.emit(clock(), EventChildLeft, stoatevent.F("child", ask.From.String()), stoatevent.F("cause", cause))
}

func refuseAsk(w http.ResponseWriter, a stoattree.JoinResponse) {
	w.WriteHeader(http.StatusServiceUnavailable)
	// Whoever hung up asks another one.
	_ = stoatrelay.EncodeRefusal(w, &stoatrelay.Refusal{Reason: string(a.Refusal), Alternatives: stoatrelay.FormatAddrs(a.Alternatives)})
}

// tellChild sends messages until something ends it, and returns what did.
func (e *Edge) tellChild(w http.ResponseWriter, r *http.Request, ask stoattree.JoinRequest) string {
	rc := http.NewResponseController(w)
	out := &stoatcount.Writer{W: w, Count: &e.place.sent}
	var child stoatrelay.ChildState
	var seen stoatoutlier.DeltaTracker
	for {
		next := e.place.bell.wait()
		if e.stop.asked() {
			return "this entry stops"
		}
		now, bound := clock(), e.settings().MaxDelay()
		text, told, err := e.message(now, ask, child, &seen)
		if err != nil {
			return err.Error()
		}
		// A child that stands still must not hold this goroutine.
		_ = rc.SetWriteDeadline(now.Add(stoatfeed.Fraction(bound, silenceShare)))
		if _, err := out.Write(text); err != nil {
			return err.Error()
		}
		if err := rc.Flush(); err != nil {
			return err.Error()
		}
		child = told
		if cause := e.waitForNews(r, next, stoatfeed.Fraction(bound, keepaliveShare)); cause != "" {
			return cause
		}
	}
}

// message returns the next one for a child, encoded, and what the child holds with it.
func (e *Edge) message(now time.Time, ask stoattree.JoinRequest, child stoatrelay.ChildState, seen *stoatoutlier.DeltaTracker) ([]byte, stoatrelay.ChildState, error) {
	// First how far everything is known, then the table: it holds that much at least.
	s, t := e.place.announced.Load(), e.table.Load()
	body, err := e.place.bodies.of(now, t, child)
	if err != nil {
		return nil, child, err
	}
	head, err := e.headFor(now, s, ask, len(body) > 0, seen, t.Era)
	if err != nil {
		return nil, child, err
	}
	return append(head, body...), stoatrelay.ChildStateOf(t), nil
}

// waitForNews returns when there is some or a message is due anyway, or with what ended the telling.
func (e *Edge) waitForNews(r *http.Request, next <-chan struct{}, most time.Duration) string {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-r.Context().Done():
		return "it hung up"
	case <-e.ctx.Done():
		return "this entry ends"
	}
	return ""
}

// headFor returns the head of a message to one child, encoded.
func (e *Edge) headFor(now time.Time, s *announcement, ask stoattree.JoinRequest, body bool, stream *stoatoutlier.DeltaTracker, era stoatpaddle.Era) ([]byte, error) {
	h := stoatrelay.Head{
		PositionRevision: uint64(s.known.Revision), PositionEra: uint64(s.known.Era), BodyEra: uint64(era), AgeMS: ageAt(now, s.asOf).Milliseconds(), HasBody: body,
		Path: stoatrelay.FormatAddrs(append(s.path[:len(s.path):len(s.path)], e.settings().AdminAddr)),
	}
	h.Centre = string(e.settings().DataCentre)
	if seen := e.place.seen.Load(); seen != nil && ask.Centre == e.settings().DataCentre {
		if u, due := stream.Next(now, *seen, stoatoutlier.FirstWait); due {
			h.Reports, h.FullReports = stoatoutlier.Encode(now, u.Reports), u.Full
		}
	}
	e.place.mu.Lock()
	h.Siblings = stoatrelay.FormatAddrs(e.place.tree.Siblings(ask.From, ask.Centre))
	if own := e.ownPlace(); ask.Centre == e.settings().DataCentre && own.Entries > 0 {
		h.Rank, h.DataCentreEntries = e.place.tree.ChildRank(ask.From, own.Rank), own.Entries
	}
	e.place.mu.Unlock()
	return stoatrelay.Encode(&h)
}

// bodies keeps the last body: children that were told the same are told the same next.
type bodies struct {
	mu    sync.Mutex
	held  stoatrelay.ChildState // of the table that it was made from
	child stoatrelay.ChildState
	made  time.Time
	text  []byte
}

// bodyKept is how long a body is told again: how much longer an upstream is cold is said in it.
const bodyKept = 200 * time.Millisecond

// of returns what t has that a child does not, encoded; nothing if there is nothing.
func (b *bodies) of(now time.Time, t *stoatroute.Table, child stoatrelay.ChildState) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == stoatrelay.ChildStateOf(t) && b.child == child && now.Sub(b.made) < bodyKept {
		return b.text, nil
	}
	var text []byte
	if w := stoatrelay.EncodeBody(now, t, child); w != nil {
		var err error
		if text, err = stoatrelay.Encode(w); err != nil {
			return nil, err
		}
	}
	b.held, b.child, b.made, b.text = stoatrelay.ChildStateOf(t), child, now, text
	return text, nil
}

// readAsk reads what an entry says, or returns *stoatpaddle.DecodeError.
func readAsk(q url.Values) (stoattree.JoinRequest, error) {
	fail := func(what string, err error) (stoattree.JoinRequest, error) {
		return stoattree.JoinRequest{}, &stoatpaddle.DecodeError{What: what, Cause: err}
	}
	from, err := netip.ParseAddrPort(q.Get(askFrom))
	if err != nil {
		return fail(askFrom, err)
	}
	known, err := strconv.ParseUint(q.Get(askKnown), 10, 64)
	if err != nil {
		return fail(askKnown, err)
	}
	var era uint64
	if text := q.Get(askEra); text != "" {
		// An entry of the release before says none.
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return fail(askEra, err)
		}
	}
	within, err := strconv.ParseUint(q.Get(askWithin), 10, 31)
	if err != nil {
		return fail(askWithin, err)
	}
	a := stoattree.JoinRequest{
		From: from, Centre: stoatpaddle.DataCentreID(q.Get(askCentre)),
		Position:  stoatpaddle.Position{Era: stoatpaddle.Era(era), Revision: stoatpaddle.Version(known)},
		LocalOnly: q.Get(askNear) != "", MaxAge: time.Duration(within) * time.Millisecond,
	}
	if skip := q.Get(askSkip); skip != "" {
		if a.Tried, err = stoatrelay.ParseAddrs(strings.Split(skip, ",")); err != nil {
			return fail(askSkip, err)
		}
	}
	return a, nil
}

func writeAsk(a stoattree.JoinRequest) string {
	q := url.Values{}
	q.Set(askFrom, a.From.String())
	q.Set(askCentre, string(a.Centre))
	q.Set(askKnown, a.Position.Revision.String())
	q.Set(askEra, a.Position.Era.String())
	q.Set(askWithin, strconv.FormatInt(a.MaxAge.Milliseconds(), 10))
	if a.LocalOnly {
		q.Set(askNear, "1")
	}
	q.Set(askSkip, strings.Join(stoatrelay.FormatAddrs(a.Tried), ","))
	return q.Encode()
}
