package stoatedge

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatwire"
)

// pathReports is where an entry reports to its parent which upstreams it observed to fail.
const pathReports = "/v1/seen"

// paramSize is the number of entries of the data centre below the sender, itself included.
const paramSize = "size"

// paramWhole marks a report that has all observations of its sender, and not only the changes.
const paramWhole = "whole"

// receiveReport processes a child's report.
func (e *Edge) receiveReport(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.URL.Query().Get(paramFrom))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, stoatoutlier.MaxReportBytes))
	var list []stoatoutlier.WireReport
	if err != nil || msgpack.Unmarshal(body, &stoatwire.List[stoatoutlier.WireReport]{Out: &list}) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := clock()
	if size, err := strconv.Atoi(r.URL.Query().Get(paramSize)); err == nil {
		e.relay.mu.Lock()
		e.relay.tree.SetSubtreeSize(from, size)
		e.relay.mu.Unlock()
		e.notifyObserved()
	}
	u := stoatoutlier.Update{Full: r.URL.Query().Get(paramWhole) != "", Reports: stoatoutlier.Decode(now, list)}
	if len(list) == 0 && !u.Full {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if !e.aggregator.HandleChildUpdate(now, from, u) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.notifyObserved()
	w.WriteHeader(http.StatusNoContent)
}

// shareObservations adds up the observations of entries, and checks the upstreams by them: at each change, and
// periodically.
func (e *Edge) shareObservations() error {
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
		e.checkUpstreams(now)
		pause.Reset(pacer.RecordRound(now))
		select {
		case <-e.ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

// notifyObserved wakes shareObservations; it never blocks.
func (e *Edge) notifyObserved() {
	select {
	case e.observed <- struct{}{}:
	default:
	}
}

// checkUpstreams looks for upstreams that fail requests or answer no entry, by the observations of all entries
// of this data centre, and passes on those of this entry.
func (e *Edge) checkUpstreams(now time.Time) {
	t := e.table.Load()
	suspects := e.aggregator.Suspects(now)
	e.engineMu.Lock()
	own := e.engine.Reports(now, suspects)
	e.engineMu.Unlock()
	sum, report, to := e.aggregator.Aggregate(now, own, e.reportPending.Load())
	delay, steady := e.aggregator.PropagationDelay(), e.aggregator.Stable(now)
	place, size, parent := e.currentPlace()
	e.engineMu.Lock()
	e.engine.SetRank(now, place)
	e.engine.SetDataCentreSums(now, sum)
	failing := e.engine.EjectFailing(now, t)
	var silent []stoatecho.SilentUpstream
	if steady {
		silent = e.engine.EjectSilent(now, t, delay)
	}
	e.engineMu.Unlock()
	for _, f := range failing {
		e.log.emit(now, EventUpstreamFailing, stoatevent.F("upstream", string(f.Upstream.ID)), stoatevent.F("service", string(f.Upstream.Service)),
			stoatevent.F("answered", strconv.Itoa(f.Answered)), stoatevent.F("failed", strconv.Itoa(f.Failed)), stoatevent.F("hold", f.Backoff.String()))
	}
	e.logSilent(now, silent)
	e.relay.observedSum.Store(&sum)
	if _, due := e.wakeTracker.Next(now, sum, stoatoutlier.FirstWait); due {
		e.relay.notifier.notify()
	}
	// The number of entries is needed only if entries share a limit.
	if !to.IsValid() && !e.reportPending.Load() && len(t.Declaration.ColdRates) > 0 {
		to = parent
	}
	if to.IsValid() {
		e.reportPending.Store(true)
		e.reports <- pendingReport{to: to, update: report, size: size}
	}
}

// logSilent logs which upstreams get no flows because they answer no entry. Many of them share a single line,
// since every entry logs them all when a data centre is lost.
func (e *Edge) logSilent(now time.Time, silent []stoatecho.SilentUpstream) {
	if len(silent) > maxStandingLines {
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

// pendingReport is a report that is being sent; there is one at a time.
type pendingReport struct {
	to     netip.AddrPort
	update stoatoutlier.Update
	size   int // how many entries are below this one, itself included
}

// sendReports sends reports one after the other, so that none overtakes a later one.
func (e *Edge) sendReports() error {
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case x := <-e.reports:
			e.relay.reportedSize.Store(int64(x.size))
			if !e.sendReport(x) {
				e.aggregator.ForceFullUpdate()
				e.relay.reportedSize.Store(0)
			}
			e.reportPending.Store(false)
			e.notifyObserved()
		}
	}
}

// sendReport sends a report, and returns whether the parent accepted it. A parent that does not accept it is
// either detected by its silence, or lacks the earlier reports.
func (e *Edge) sendReport(x pendingReport) bool {
	body, err := stoatrelay.Encode(stoatoutlier.Encode(clock(), x.update.Reports))
	if err != nil {
		return false
	}
	query := paramFrom + "=" + e.settings().AdminAddr.String() + "&" + paramSize + "=" + strconv.Itoa(x.size)
	if x.update.Full {
		query += "&" + paramWhole + "=1"
	}
	status, _, err := e.sendRequest(peerRequest{to: x.to, path: pathReports, query: query, body: body})
	if err != nil {
		e.log.emit(clock(), EventReportFailed, stoatevent.F("parent", x.to.String()), stoatevent.F("cause", err.Error()))
		return false
	}
	return status == http.StatusNoContent
}
