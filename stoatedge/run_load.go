package stoatedge

import (
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// pathLoads is where an entry posts the load of its subtree to its parent, with paramFrom, and that of its data centre
// to an entry of another one, with paramCentre in addition.
const pathLoads = "/v1/load"

// loadRetryInterval is the interval between two posts to an entry whose release does not take loads. Such an entry is
// usually replaced within minutes.
const loadRetryInterval = 30 * time.Second

// startLoadWorkers starts the exchange of loads, unless it is off.
func (e *Edge) startLoadWorkers() {
	if e.loads == nil {
		return
	}
	e.group.Go(e.shareLoads)
	e.group.Go(e.sendLoadReports)
	e.group.Go(e.exchangeLoads)
}

// shareLoads passes the loads between the engine, the aggregator and the children: periodically, and when the parent
// sent a load.
func (e *Edge) shareLoads() error {
	t := time.NewTicker(stoatload.PressedInterval)
	defer t.Stop()
	var pacer stoatload.ChildPacer
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-t.C:
		case <-e.loads.received:
		}
		e.updateLoads(clock(), &pacer)
		signal(e.loads.reportRound)
		signal(e.loads.peerRound)
	}
}

// updateLoads measures the own load, passes the shared loads to the engine, and wakes the children's connections if a
// message is due.
func (e *Edge) updateLoads(now time.Time, pacer *stoatload.ChildPacer) {
	agg := e.loads.aggregator
	e.engineMu.Lock()
	own := e.loads.engine.Loads(now)
	e.engineMu.Unlock()
	e.relay.mu.Lock()
	topmost := e.topmost()
	e.relay.mu.Unlock()
	agg.SetOwn(now, own)
	agg.SetTopmost(topmost)
	sum, fresh := agg.Sum(now)
	centres := agg.Centres(now)
	e.engineMu.Lock()
	e.loads.engine.SetSharedLoads(now, sum, fresh, centres)
	e.engineMu.Unlock()
	if forChildren, ok := agg.SumForChildren(now); ok && pacer.Next(now, agg.Pace(now), forChildren.At) {
		e.loads.children.notify()
	}
}

// sendLoadReports reports the load of the subtree to the parent.
func (e *Edge) sendLoadReports() error {
	var pacer stoatload.Pacer
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-e.loads.reportRound:
		}
		now, agg := clock(), e.loads.aggregator
		parent, unsupported := agg.Parent(), e.loads.unsupported.Load()
		if !parent.IsValid() || unsupported != nil && *unsupported == parent {
			continue
		}
		if pacer.Next(now, agg.Pace(now)) {
			e.sendLoadReport(now, parent)
		}
	}
}

// sendLoadReport posts one report. A report that is lost is made up for by the next one.
func (e *Edge) sendLoadReport(now time.Time, parent netip.AddrPort) {
	body, err := stoatload.EncodeReport(now, e.loads.aggregator.Report(now))
	if err != nil {
		return
	}
	query := url.Values{paramFrom: {e.settings().AdminAddr.String()}}.Encode()
	status, _, err := e.sendRequest(peerRequest{to: parent, path: pathLoads, query: query, body: body})
	if err == nil && status == http.StatusNotFound {
		e.loads.unsupported.Store(&parent)
	}
}

// exchangeLoads exchanges the loads of data centres, if this entry is the topmost of its data centre.
func (e *Edge) exchangeLoads() error {
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-e.loads.peerRound:
		}
		e.relay.mu.Lock()
		topmost := e.topmost()
		e.relay.mu.Unlock()
		peers := e.loadPeers(topmost)
		e.loads.keepPeers(peers)
		for _, addr := range peers {
			now := clock()
			if x, due := e.loads.nextExchange(now, addr); due {
				e.sendExchange(now, addr, x)
			}
		}
	}
}

// loadPeers returns the entries with which this one exchanges loads: the parent in another data centre, or else the
// other seeds.
func (e *Edge) loadPeers(topmost bool) []netip.AddrPort {
	if !topmost {
		return nil
	}
	if parent := e.loads.remoteParent.Load(); parent != nil {
		return []netip.AddrPort{*parent}
	}
	set := e.settings()
	return slices.DeleteFunc(slices.Clone(set.Seeds), func(seed netip.AddrPort) bool { return seed == set.AdminAddr })
}

// sendExchange posts the load of this data centre to an entry, and takes what it responds.
func (e *Edge) sendExchange(now time.Time, to netip.AddrPort, x stoatload.Exchange) {
	body, err := stoatload.EncodeExchange(now, x)
	if err != nil {
		return
	}
	query := url.Values{paramFrom: {e.settings().AdminAddr.String()}, paramCentre: {string(x.DataCentre)}}.Encode()
	status, data, err := e.sendRequest(peerRequest{to: to, path: pathLoads, query: query, body: body, maxBytes: stoatload.MaxMessageBytes + 1})
	if err != nil {
		return
	}
	now = clock()
	if status == http.StatusNotFound {
		e.loads.postpone(to, now.Add(loadRetryInterval))
	}
	if status != http.StatusOK {
		return
	}
	if answer, err := stoatload.DecodeExchange(now, data); err == nil {
		e.loads.handleAnswer(now, to, answer)
	}
}

// receiveLoads processes the load of a child's subtree, or that of a data centre.
func (e *Edge) receiveLoads(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := netip.ParseAddrPort(q.Get(paramFrom))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, stoatload.MaxMessageBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Has(paramCentre) {
		e.receiveExchange(w, from, stoatpaddle.DataCentreID(q.Get(paramCentre)), body)
		return
	}
	e.receiveLoadReport(w, from, body)
}

// receiveLoadReport processes the report of a child. An entry whose connection has ended reports to another parent by
// now, and must not count twice.
func (e *Edge) receiveLoadReport(w http.ResponseWriter, from netip.AddrPort, body []byte) {
	now := clock()
	report, err := stoatload.DecodeReport(now, e.loads.dataCentre, body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if centre, child := e.childCentre(from); !child || centre != e.loads.dataCentre || !e.loads.aggregator.HandleChild(now, from, report) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// childCentre returns the data centre of a child; false: the entry is not a child.
func (e *Edge) childCentre(from netip.AddrPort) (stoatpaddle.DataCentreID, bool) {
	e.relay.mu.Lock()
	defer e.relay.mu.Unlock()
	return e.relay.tree.ChildCentre(from)
}

// receiveExchange processes the load of a data centre, and responds with what this entry knows. Only children and
// seeds exchange loads.
func (e *Edge) receiveExchange(w http.ResponseWriter, from netip.AddrPort, centre stoatpaddle.DataCentreID, body []byte) {
	now := clock()
	x, err := stoatload.DecodeExchange(now, body)
	if err != nil || x.DataCentre != centre {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, below := e.childCentre(from)
	if !below && !slices.Contains(e.settings().Seeds, from) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.loads.aggregator.HandleExchange(now, x, below)
	data, err := stoatload.EncodeExchange(now, e.loads.answer(now, from, below))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.relay.sent.Add(int64(len(data)))
	// A client that has closed the connection asks again.
	_, _ = w.Write(data)
}
