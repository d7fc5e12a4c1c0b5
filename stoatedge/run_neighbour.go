package stoatedge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// pathHolding is where an entry tells its neighbours what it has in force.
const pathHolding = "/v1/holding"

const (
	// neighbourTimeout bounds the question: behind a cut it would hang.
	neighbourTimeout = 500 * time.Millisecond
	maxHolding       = 16 << 20
)

const (
	// headerAge says how long ago the teller's upstreams were proven up to date, ms; -1: never.
	headerAge = "Age-Ms"
	// headerKnown says up to which of the platform's revisions the teller knows everything.
	headerKnown = "Known"
)

// tellingMost bounds how many neighbours are told at once. In an outage of the store all
// entries ask; 300 of them, told 600 kB each, had an entry killed for its memory.
const tellingMost = 8

// teller tells neighbours what is held; the text is made once a table.
type teller struct {
	mu    sync.Mutex
	table *stoatroute.Table
	body  []byte
	busy  atomic.Int32
}

func (x *teller) text(t *stoatroute.Table) ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.table == t {
		return x.body, nil
	}
	body, err := json.Marshal(encodeHolding(t))
	if err != nil {
		return nil, err
	}
	x.table, x.body = t, body
	return body, nil
}

// tellHolding answers a neighbour, if there is something that it does not know: it names
// the platform's revision up to which it knows everything.
func (e *Edge) tellHolding(w http.ResponseWriter, r *http.Request) {
	t := e.table.Load()
	if !t.Ready() || e.teller.busy.Add(1) > tellingMost {
		if t.Ready() {
			e.teller.busy.Add(-1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.teller.busy.Add(-1)
	known, err := strconv.ParseUint(r.URL.Query().Get("known"), 10, 64)
	if err == nil && known >= e.known.Load() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := e.teller.text(t)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, strconv.FormatInt(provenAge(t), 10))
	w.Header().Set(headerKnown, strconv.FormatUint(e.known.Load(), 10))
	w.Header().Set("Content-Type", "application/json")
	// A neighbour that hung up asks another one.
	_, _ = w.Write(body)
}

// askNeighbours asks the entries that the settings name. One that has nothing to serve by
// asks all at once, for behind a cut those of other data centres do not answer; the others
// ask one at a time.
func (e *Edge) askNeighbours(x askNeighbours) {
	set := e.settings()
	for i, seed := range set.Seeds {
		if seed == set.Admin || x.known > 0 && i != x.turn%len(set.Seeds) {
			continue
		}
		e.group.Go(func() error {
			out, news := e.fetchHolding(seed, x.known)
			if news && e.ctx.Err() == nil {
				e.post(out)
			}
			return nil
		})
	}
}

// fetchHolding asks one neighbour, and tells whether there is something to say about it.
func (e *Edge) fetchHolding(addr netip.AddrPort, known stoatpaddle.Version) (told, bool) {
	ctx, cancel := context.WithTimeout(e.ctx, neighbourTimeout)
	defer cancel()
	out := told{from: addr.String()}
	url := "http://" + out.from + pathHolding + "?known=" + known.String()
	if known == 0 {
		url = "http://" + out.from + pathHolding
	}
	head, body, err := e.fetch(ctx, url)
	if err != nil {
		out.cause = err
		return out, true
	}
	if len(body) == 0 {
		return told{}, false
	}
	var w wireHolding
	if err := json.Unmarshal(body, &w); err != nil {
		out.cause = &stoatpaddle.DecodeError{What: "a neighbour's answer", Cause: err}
		return out, true
	}
	ms, err := strconv.ParseInt(head.Get(headerAge), 10, 64)
	if err != nil {
		ms = -1
	}
	out.age = time.Duration(ms) * time.Millisecond
	if rev, err := strconv.ParseUint(head.Get(headerKnown), 10, 64); err == nil {
		out.known = stoatpaddle.Version(rev)
	}
	out.changes, out.cause = decodeHolding(&w)
	return out, true
}

// statusError reports a neighbour's answer other than 200.
type statusError struct{ status int }

// Error names the status.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

// fetch reads from another entry; no usable answer is *stoatpaddle.UnavailableError.
func (e *Edge) fetch(ctx context.Context, url string) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxHolding))
	if err == nil && res.StatusCode != http.StatusOK && res.StatusCode != http.StatusNoContent {
		err = &statusError{status: res.StatusCode}
	}
	if err != nil {
		return nil, nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	return res.Header, body, nil
}
