package stoatedge

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
)

// pathSeen is where an entry tells its parent which upstreams it saw failing.
const pathSeen = "/v1/seen"

// askSize says how many entries of the data centre are below the sender, itself included.
const askSize = "size"

// askWhole says that a report has all that its sender saw, and not what changed.
const askWhole = "whole"

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
	now := clock()
	if size, err := strconv.Atoi(r.URL.Query().Get(askSize)); err == nil {
		e.place.mu.Lock()
		e.place.tree.SetSubtreeSize(from, size)
		e.place.mu.Unlock()
		e.notice()
	}
	u := stoatoutlier.Update{Full: r.URL.Query().Get(askWhole) != "", Reports: stoatoutlier.Decode(now, list)}
	if len(list) == 0 && !u.Full {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if !e.pool.HandleChildUpdate(now, from, u) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.notice()
	w.WriteHeader(http.StatusNoContent)
}

// share adds up what entries saw of upstreams, and judges by it: at each change, and now and then.
func (e *Edge) share() error {
	t := time.NewTicker(stoatecho.CheckInterval)
	defer t.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	var pacer stoatoutlier.Pacer
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-t.C:
		case <-e.observed:
		}
		now := clock()
		e.judge(now)
		pause.Reset(pacer.RecordRound(now))
		select {
		case <-e.ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

// notice has share look at what changed; it never blocks.
func (e *Edge) notice() {
	select {
	case e.observed <- struct{}{}:
	default:
	}
}

// judge looks for upstreams that fail requests or answer nobody, by what all entries of this data
// centre saw, and passes on what was seen here.
func (e *Edge) judge(now time.Time) {
	t := e.table.Load()
	suspects := e.pool.Suspects(now)
	e.engineMu.Lock()
	own := e.engine.Reports(now, suspects)
	e.engineMu.Unlock()
	sum, report, to := e.pool.Aggregate(now, own, e.reporting.Load())
	delay, steady := e.pool.PropagationDelay(), e.pool.Stable(now)
	place, size, parent := e.findPlace()
	e.engineMu.Lock()
	e.engine.SetRank(now, place)
	e.engine.SetDataCentreSums(now, sum)
	marked := e.engine.EjectFailing(now, t)
	var silent []stoatecho.SilentUpstream
	if steady {
		silent = e.engine.EjectSilent(now, t, delay)
	}
	e.engineMu.Unlock()
	for _, m := range marked {
		e.log.emit(now, EventUpstreamFailing, stoatevent.F("upstream", string(m.Upstream.ID)), stoatevent.F("service", string(m.Upstream.Service)),
			stoatevent.F("answered", strconv.Itoa(m.Answered)), stoatevent.F("failed", strconv.Itoa(m.Failed)), stoatevent.F("hold", m.Backoff.String()))
	}
	e.logSilent(now, silent)
	e.place.seen.Store(&sum)
	if _, due := e.rung.Next(now, sum, stoatoutlier.FirstWait); due {
		e.place.bell.ring()
	}
	// Counts are needed only where entries share something.
	if !to.IsValid() && !e.reporting.Load() && len(t.Declaration.ColdRates) > 0 {
		to = parent
	}
	if to.IsValid() {
		e.reporting.Store(true)
		e.reports <- pendingReport{to: to, update: report, size: size}
	}
}

// logSilent says which upstreams get no flows since they answer nobody: in one line where a data centre
// is lost, which is as many at each entry.
func (e *Edge) logSilent(now time.Time, silent []stoatecho.SilentUpstream) {
	if len(silent) > maxLinesAtOnce {
		var names []string
		for _, s := range silent {
			names = append(names, string(s.Upstream.ID))
		}
		e.log.emit(now, EventUpstreamsSilent, stoatevent.F("count", strconv.Itoa(len(names))), stoatevent.F("names", joinNames(names)))
		return
	}
	for _, s := range silent {
		e.log.emit(now, EventUpstreamSilent, stoatevent.F("upstream", string(s.Upstream.ID)), stoatevent.F("service", string(s.Upstream.Service)),
			stoatevent.F("entries", strconv.Itoa(s.WaitingEntries)), stoatevent.F("silence", s.Silence.Round(time.Millisecond).String()),
			stoatevent.F("waiting", strconv.Itoa(s.PendingRequests)))
	}
}

// pendingReport is one that is under way; there is one at a time.
type pendingReport struct {
	to     netip.AddrPort
	update stoatoutlier.Update
	size   int // how many entries are below this one
}

// sendReports sends reports one after the other, so that none overtakes a later one.
func (e *Edge) sendReports() error {
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case x := <-e.reports:
			e.place.sized.Store(int64(x.size))
			if !e.sendReport(x) {
				e.pool.ForceFullUpdate()
				e.place.sized.Store(0)
			}
			e.reporting.Store(false)
			e.notice()
		}
	}
}

// reportClient keeps the connection to the relay parent. One that has gone silent costs
// seekTimeout, and is not used again then.
var reportClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: seekTimeout}).DialContext,
	MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdle, DisableCompression: true,
}}

// reportIdle is how long the connection is kept without reports: an upstream that failed is
// usually followed by others within seconds.
const reportIdle = 10 * time.Second

// sendReport sends a report, and tells whether the parent took it. One that does not is noticed by
// its silence, or lacks what was reported before.
func (e *Edge) sendReport(x pendingReport) bool {
	body, err := stoatrelay.Encode(stoatoutlier.Encode(clock(), x.update.Reports))
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, seekTimeout)
	defer cancel()
	url := "http://" + x.to.String() + pathSeen + "?" + askFrom + "=" + e.settings().AdminAddr.String() + "&" + askSize + "=" + strconv.Itoa(x.size)
	if x.update.Full {
		url += "&" + askWhole + "=1"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	e.place.sent.Add(int64(len(body)))
	res, err := reportClient.Do(req)
	if err != nil {
		e.log.emit(clock(), EventReportFailed, stoatevent.F("parent", x.to.String()), stoatevent.F("cause", err.Error()))
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusNoContent
}
