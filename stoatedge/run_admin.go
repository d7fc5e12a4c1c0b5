package stoatedge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// admin serves operators and neighbours.
func (e *Edge) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathNews, e.tellNews)
	mux.HandleFunc("POST "+pathSeen, e.takeSeen)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.status()) })
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.report()) })
	mux.HandleFunc("GET /metrics", e.writeMetrics)
	return mux
}

func answer(w http.ResponseWriter, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Whoever hung up does not want it any more.
	_, _ = w.Write(append(data, '\n'))
}

// ViewAge is how long ago what is believed was known to be up to date; negative: never.
func (e *Edge) ViewAge(now time.Time) time.Duration { return ageAt(now, e.place.announced.Load().asOf) }

// Depth is the number of entries between a reader of the platform and this one; 0: it is told
// by nobody.
func (e *Edge) Depth() int { return len(e.place.announced.Load().path) }

// status is what is in force on this entry. The entries that it names are those of the
// settings: on this fabric entries need not know each other.
func (e *Edge) status() stoatstatus.Status {
	set, t := e.settings(), e.table.Load()
	routes, n := t.Counts()
	s := stoatstatus.Status{
		Instance: string(set.Instance), Ready: t.Ready(), Leaving: e.stop.asked(),
		PlatformAvailable: e.inTouch.Load(), WatchesPlatform: true,
		Contracts: []stoatstatus.ContractVersion{}, Instances: []stoatstatus.Instance{},
		View: &stoatstatus.RoutingSummary{
			Version: uint64(t.Declaration.Version), AgeMS: max(-1, e.ViewAge(clock()).Milliseconds()), Routes: routes, Serving: n[stoatroute.Serving],
			Leaving: n[stoatroute.Leaving], Missing: n[stoatroute.Missing], Gone: n[stoatroute.Gone],
		},
	}
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

// report sums up what became of flows.
func (e *Edge) report() stoatstatus.Report {
	s := e.Stats()
	return stoatstatus.Report{
		Instance: string(e.settings().Instance), FlowsOpened: s.Opened,
		FlowsReset:   s.Resets[stoatpacket.DropUpstreamGone],
		FlowsLimited: s.Refused,
	}
}
