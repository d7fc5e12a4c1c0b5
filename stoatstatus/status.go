package stoatstatus

// ContractVersion is the version of one contract in force.
type ContractVersion struct {
	Customer string `json:"customer"`
	Version  uint64 `json:"version"`
}

// Report counts the outcomes of flows and calls on one entry since it started.
type Report struct {
	Instance       string `json:"instance"`
	FlowsOpened    int64  `json:"opened"`
	FlowsReset     int64  `json:"reset"`   // flows that could not continue
	FlowsLimited   int64  `json:"limited"` // flows rejected at their opening
	CallsAnswered  int64  `json:"answered"`
	CallsRefused   int64  `json:"refused"` // calls rejected without being run
	CallsUnknown   int64  `json:"unknown"` // calls that may have run
	CallsTruncated int64  `json:"cut"`     // calls whose answer was truncated and aborted
}

// Add returns the sum of the counts of two reports, without an instance.
func (r Report) Add(o Report) Report {
	return Report{
		FlowsOpened: r.FlowsOpened + o.FlowsOpened, FlowsReset: r.FlowsReset + o.FlowsReset, FlowsLimited: r.FlowsLimited + o.FlowsLimited,
		CallsAnswered: r.CallsAnswered + o.CallsAnswered, CallsRefused: r.CallsRefused + o.CallsRefused, CallsUnknown: r.CallsUnknown + o.CallsUnknown, CallsTruncated: r.CallsTruncated + o.CallsTruncated,
	}
}

// Status is the state of one entry.
type Status struct {
	Instance          string            `json:"instance"`
	Ready             bool              `json:"ready"`
	Leaving           bool              `json:"leaving"`
	PlatformAvailable bool              `json:"platform"` // whether the platform is reachable
	WatchesPlatform   bool              `json:"watching"` // whether the entry watches the platform itself
	Contracts         []ContractVersion `json:"contracts"`
	Instances         []Instance        `json:"instances"`
	Evacuated         []string          `json:"evacuated,omitempty"` // data centres; only on a tunnel fabric
	View              *RoutingSummary   `json:"view,omitempty"`      // only on an echo fabric
	Levels            []Level           `json:"levels,omitempty"`    // of services with two or more priorities; only on an echo fabric
}

// RoutingSummary summarizes the routes and upstreams known to an entry on an echo fabric.
type RoutingSummary struct {
	Version uint64 `json:"version"` // of the configuration
	AgeMS   int64  `json:"age"`     // ms since the upstreams were last known to be up to date; -1 if never
	Routes  int    `json:"routes"`
	Serving int    `json:"serving"` // number of upstreams in this state, as are the fields below
	Leaving int    `json:"leaving"`
	Missing int    `json:"missing"`
	Gone    int    `json:"gone"`
}

// Level is the state of a priority level of a service in a data centre, as an entry sees it.
type Level struct {
	Service       string           `json:"service"`
	Centre        string           `json:"centre"`
	Priority      int              `json:"priority"`
	Arrived       float64          `json:"arrived"`  // openings a second
	Admitted      float64          `json:"admitted"` // openings a second
	Share         float64          `json:"share"`    // of its openings that are admitted
	RejectedShare float64          `json:"turned"`   // share of the requests that the upstreams reject
	Shared        bool             `json:"shared"`   // whether all entries' observations decide
	LimitedMS     int64            `json:"limited"`  // ms since it has been limited; 0: it is not
	Refused       map[string]int64 `json:"refused"`  // openings since the start of the entry, by reason
}

// Instance is the state of one instance as an entry sees it.
type Instance struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Centre    string `json:"centre"`
	State     string `json:"state"`
	Admin     string `json:"admin,omitempty"`
	Dead      bool   `json:"dead"`
	Connected bool   `json:"connected"`
}
