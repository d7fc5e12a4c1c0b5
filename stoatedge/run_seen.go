package stoatedge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// pathSeen is where an entry tells its parent which upstreams it saw failing.
const pathSeen = "/v1/seen"

// wireSeen is what entries saw of one upstream.
type wireSeen struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      uint32
	Answered int
	Failed   int
}

func encodeSeen(list []stoatecho.Seen) []wireSeen {
	out := make([]wireSeen, 0, len(list))
	for _, s := range list {
		out = append(out, wireSeen{Key: uint32(s.Key), Answered: s.Answered, Failed: s.Failed})
	}
	return out
}

// decodeSeen leaves out counts that nobody can have seen.
func decodeSeen(list []wireSeen) []stoatecho.Seen {
	out := make([]stoatecho.Seen, 0, min(len(list), maxSeen))
	for _, w := range list[:min(len(list), maxSeen)] {
		if w.Answered >= 0 && w.Failed >= 0 {
			out = append(out, stoatecho.Seen{Key: stoatpaddle.UpstreamKey(w.Key), Counts: stoatecho.Counts{Answered: w.Answered, Failed: w.Failed}})
		}
	}
	return out
}

// maxSeenBody is more than the longest report, bytes.
const maxSeenBody = 16 * maxSeen

// takeSeen answers a child's report.
func (e *Edge) takeSeen(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.URL.Query().Get(askFrom))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxSeenBody))
	var list []wireSeen
	if err != nil || msgpack.Unmarshal(body, &list) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.report(clock(), from, decodeSeen(list))
	w.WriteHeader(http.StatusNoContent)
}

// judge looks for upstreams that fail requests, by what all entries of this data centre saw,
// and passes on what was seen here.
func (e *Edge) judge(now time.Time) {
	if now.Sub(e.judged) < stoatecho.JudgeEvery {
		return
	}
	e.judged = now
	t := e.table.Load()
	suspects := e.pool.suspects(now)
	e.engineMu.Lock()
	own := e.engine.Evidence(now, suspects)
	e.engineMu.Unlock()
	sum, report, to := e.pool.turn(now, own)
	e.engineMu.Lock()
	e.engine.SetEvidence(now, sum)
	marked := e.engine.Judge(now, t)
	e.engineMu.Unlock()
	for _, m := range marked {
		e.log.emit(now, EventFailing, stoatevent.F("upstream", string(m.Upstream.ID)), stoatevent.F("service", string(m.Upstream.Service)),
			stoatevent.F("answered", strconv.Itoa(m.Answered)), stoatevent.F("failed", strconv.Itoa(m.Failed)), stoatevent.F("hold", m.Hold.String()))
	}
	if told := e.place.seen.Swap(&sum); told == nil || !slices.Equal(keysOf(*told), keysOf(sum)) {
		e.place.bell.ring()
	}
	if to.IsValid() {
		e.group.Go(func() error {
			e.sendSeen(to, report)
			return nil
		})
	}
}

// sendSeen sends a report. A parent that does not take it is noticed by its silence.
func (e *Edge) sendSeen(to netip.AddrPort, list []stoatecho.Seen) {
	body, err := encodeWire(encodeSeen(list))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, seekTimeout)
	defer cancel()
	url := "http://" + to.String() + pathSeen + "?" + askFrom + "=" + e.settings().Admin.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	res, err := followClient.Do(req)
	if err != nil {
		e.log.emit(clock(), EventUnreported, stoatevent.F("parent", to.String()), stoatevent.F("cause", err.Error()))
		return
	}
	_ = res.Body.Close()
}
