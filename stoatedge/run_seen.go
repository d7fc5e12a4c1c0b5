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

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
)

// pathSeen is where an entry tells its parent which upstreams it saw failing.
const pathSeen = "/v1/seen"

// takeSeen answers a child's report.
func (e *Edge) takeSeen(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.URL.Query().Get(askFrom))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, stoatoutlier.MaxReportBytes))
	var list []stoatoutlier.WireReport
	if err != nil || msgpack.Unmarshal(body, &list) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.Take(clock(), from, stoatoutlier.Decode(list))
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
	suspects := e.pool.Suspects(now)
	e.engineMu.Lock()
	own := e.engine.Observed(now, suspects)
	e.engineMu.Unlock()
	sum, report, to := e.pool.Turn(now, own)
	e.engineMu.Lock()
	e.engine.TakeSum(now, sum)
	marked := e.engine.Judge(now, t)
	e.engineMu.Unlock()
	for _, m := range marked {
		e.log.emit(now, EventFailing, stoatevent.F("upstream", string(m.Upstream.ID)), stoatevent.F("service", string(m.Upstream.Service)),
			stoatevent.F("answered", strconv.Itoa(m.Answered)), stoatevent.F("failed", strconv.Itoa(m.Failed)), stoatevent.F("hold", m.Hold.String()))
	}
	if told := e.place.seen.Swap(&sum); told == nil || !slices.Equal(stoatoutlier.Keys(*told), stoatoutlier.Keys(sum)) {
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
func (e *Edge) sendSeen(to netip.AddrPort, list []stoatoutlier.Report) {
	body, err := encodeWire(stoatoutlier.Encode(list))
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
