package stoatedge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// admin returns the handler for operators and other entries.
func (e *Edge) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathUpdates, e.serveUpdates)
	mux.HandleFunc("POST "+pathReports, e.receiveReport)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.status()) })
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET /metrics", e.writeMetrics)
	return mux
}

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that has closed the connection needs no answer.
	_, _ = w.Write(append(data, '\n'))
}

// ViewAge returns how long ago the state was known to be current; negative: never.
func (e *Edge) ViewAge(now time.Time) time.Duration { return ageAt(now, e.relay.announced.Load().asOf) }

// Depth returns the number of hops from an entry that reads the platform; 0: there is no parent.
func (e *Edge) Depth() int { return len(e.relay.announced.Load().path) }

// status returns the status of this entry. It lists the entries that the settings name, since entries on this
// fabric need not know each other.
func (e *Edge) status() stoatstatus.Status {
	set, t := e.settings(), e.table.Load()
	routes, n := t.Counts()
	s := stoatstatus.Status{
		Instance: string(set.Instance), Ready: t.Ready(), Leaving: e.stop.requested(),
		PlatformAvailable: e.platformAnswers.Load(), WatchesPlatform: true,
		Contracts: []stoatstatus.ContractVersion{}, Instances: []stoatstatus.Instance{},
		View: &stoatstatus.RoutingSummary{
			Version: uint64(t.Declaration.Version), AgeMS: max(-1, e.ViewAge(clock()).Milliseconds()), Routes: routes, Serving: n[stoatroute.Serving],
			Leaving: n[stoatroute.Leaving], Missing: n[stoatroute.Missing], Gone: n[stoatroute.Gone],
		},
	}
	s.Levels = e.levelStatuses(clock())
	named := false
	for _, seed := range set.Seeds {
		named = named || seed == set.AdminAddr
		s.Instances = append(s.Instances, stoatstatus.Instance{Name: seed.String(), Role: "entry", Admin: seed.String()})
	}
	if !named {
		s.Instances = append(s.Instances, stoatstatus.Instance{Name: s.Instance, Role: "entry", Admin: set.AdminAddr.String()})
	}
	return s
}

// report returns the flow counters for operators.
func (e *Edge) report() stoatstatus.Report {
	s := e.Stats()
	return stoatstatus.Report{
		Instance: string(e.settings().Instance), FlowsOpened: s.Opened,
		FlowsReset:   s.Resets[stoatpacket.DropUpstreamGone],
		FlowsLimited: s.Refused,
	}
}
