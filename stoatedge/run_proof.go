package stoatedge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// pathProof is where a seed shows its last proof, or with wait its next one.
const pathProof = "/v1/proof"

// board shows the last proof to followers.
type board struct {
	mu   sync.Mutex
	rev  stoatpaddle.Version
	sent time.Time
	next chan struct{} // closed at the next proof
}

func newBoard() *board { return &board{next: make(chan struct{})} }

func (b *board) post(rev stoatpaddle.Version, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rev, b.sent = rev, sent
	close(b.next)
	b.next = make(chan struct{})
}

func (b *board) read() (stoatpaddle.Version, time.Time, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rev, b.sent, b.next
}

type wireProof struct {
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age"`
}

// tellProof answers a follower.
func (e *Edge) tellProof(w http.ResponseWriter, r *http.Request) {
	rev, sent, next := e.board.read()
	if ms, err := strconv.Atoi(r.URL.Query().Get("wait")); err == nil && ms > 0 {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		select {
		case <-next:
			rev, sent, _ = e.board.read()
		case <-t.C:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
	if sent.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, wireProof{Revision: uint64(rev), AgeMS: clock().Sub(sent).Milliseconds()})
}

// followsSeeds tells whether the settings name seeds and this entry is none of them.
func followsSeeds(set stoatsetting.Settings) bool {
	for _, seed := range set.Seeds {
		if seed == set.Admin {
			return false
		}
	}
	return len(set.Seeds) > 0
}

const (
	// proofMargin is how much longer than the seed's wait a follower waits for its answer.
	proofMargin = 300 * time.Millisecond
	// proofRetry is the pause once a seed has failed after the first.
	proofRetry = time.Second
)

// askProof asks one seed. Followers start with different ones, and go on to the next when
// one fails.
func (e *Edge) askProof(x askProof) {
	if x.attempt >= seedFails && !stoatplatform.Pause(e.ctx, proofRetry) {
		return
	}
	set := e.settings()
	if len(set.Seeds) == 0 {
		return
	}
	e.proofSeed += x.attempt
	seed := set.Seeds[(int(addrSeed(set.Admin)%uint64(len(set.Seeds)))+e.proofSeed)%len(set.Seeds)]
	out := shown{from: seed.String()}
	var w wireProof
	w, out.cause = e.fetchProof(seed, x.wait, set.Apply)
	out.rev, out.age = stoatpaddle.Version(w.Revision), time.Duration(w.AgeMS)*time.Millisecond
	if e.ctx.Err() == nil {
		e.post(out)
	}
}

func (e *Edge) fetchProof(seed netip.AddrPort, wait bool, bound time.Duration) (wireProof, error) {
	url := "http://" + seed.String() + pathProof
	timeout := neighbourTimeout
	if wait {
		// A seed has a proof about every two thirds of the bound.
		url += "?wait=" + strconv.FormatInt(bound.Milliseconds()*3/4, 10)
		timeout = bound*3/4 + proofMargin
	}
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	_, body, err := e.fetch(ctx, url)
	if err != nil {
		return wireProof{}, err
	}
	var w wireProof
	if err := json.Unmarshal(body, &w); err != nil {
		return wireProof{}, &stoatpaddle.DecodeError{What: "a seed's proof", Cause: err}
	}
	return w, nil
}
