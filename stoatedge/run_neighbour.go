package stoatedge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// pathHolding is where an entry tells its neighbours what it has in force.
const pathHolding = "/v1/holding"

const (
	// neighbourTimeout bounds the question: behind a cut it would hang.
	neighbourTimeout = 500 * time.Millisecond
	maxHolding       = 16 << 20
)

func (e *Edge) tellHolding(w http.ResponseWriter, _ *http.Request) {
	t := e.table.Load()
	if !t.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	age := time.Duration(-1) * time.Millisecond
	if !t.Proven.IsZero() {
		age = clock().Sub(t.Proven)
	}
	answer(w, encodeHolding(t, age))
}

// askNeighbours asks the entries that the settings name, all at once: behind a cut those of
// other data centres do not answer.
func (e *Edge) askNeighbours() {
	set := e.settings()
	for _, seed := range set.Seeds {
		if seed == set.Admin {
			continue
		}
		e.group.Go(func() error {
			w, err := e.fetchHolding(seed)
			if e.ctx.Err() != nil {
				return nil
			}
			x := told{from: seed.String(), cause: err}
			if err == nil {
				x.age = time.Duration(w.AgeMS) * time.Millisecond
				x.changes, x.cause = decodeHolding(w)
			}
			e.post(x)
			return nil
		})
	}
}

func (e *Edge) fetchHolding(addr netip.AddrPort) (*wireHolding, error) {
	ctx, cancel := context.WithTimeout(e.ctx, neighbourTimeout)
	defer cancel()
	body, err := e.fetch(ctx, "http://"+addr.String()+pathHolding)
	if err != nil {
		return nil, err
	}
	var w wireHolding
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, &stoatpaddle.DecodeError{What: "a neighbour's answer", Cause: err}
	}
	return &w, nil
}

// statusError reports a neighbour's answer other than 200.
type statusError struct{ status int }

// Error names the status.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

// fetch reads from another entry; no usable answer is *stoatpaddle.UnavailableError.
func (e *Edge) fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxHolding))
	if err == nil && res.StatusCode != http.StatusOK {
		err = &statusError{status: res.StatusCode}
	}
	if err != nil {
		return nil, &stoatpaddle.UnavailableError{Op: url, Cause: err}
	}
	return body, nil
}
