package stoatstatus

// ContractVersion names a contract and its version.
type ContractVersion struct {
	Customer string `json:"customer"`
	Version  uint64 `json:"version"`
}

// Report is what became of flows and calls on one entry since it started.
type Report struct {
	Instance       string `json:"instance"`
	FlowsOpened    int64  `json:"opened"`   // flows
	FlowsReset     int64  `json:"reset"`    // flows that could not live on
	FlowsLimited   int64  `json:"limited"`  // flows refused before they opened
	CallsAnswered  int64  `json:"answered"` // calls
	CallsRefused   int64  `json:"refused"`  // calls, not run
	CallsUnknown   int64  `json:"unknown"`  // calls that may have run
	CallsTruncated int64  `json:"cut"`      // answers cut short, and aborted
}

// Add sums two reports up.
func (r Report) Add(o Report) Report {
	return Report{
		FlowsOpened: r.FlowsOpened + o.FlowsOpened, FlowsReset: r.FlowsReset + o.FlowsReset, FlowsLimited: r.FlowsLimited + o.FlowsLimited,
		CallsAnswered: r.CallsAnswered + o.CallsAnswered, CallsRefused: r.CallsRefused + o.CallsRefused, CallsUnknown: r.CallsUnknown + o.CallsUnknown, CallsTruncated: r.CallsTruncated + o.CallsTruncated,
	}
}

// Status is what is in force on one entry.
type Status struct {
	Instance          string            `json:"instance"`
	Ready             bool              `json:"ready"`
	Leaving           bool              `json:"leaving"`
	PlatformAvailable bool              `json:"platform"`
	WatchesPlatform   bool              `json:"watching"`
	Contracts         []ContractVersion `json:"contracts"`
	Instances         []Instance        `json:"instances"`
	Evacuated         []string          `json:"evacuated,omitempty"` // data centres; on a tunnel fabric
	View              *RoutingSummary   `json:"view,omitempty"`      // on an echo fabric
}

// RoutingSummary is what an entry on an echo fabric believes about routes and upstreams.
type RoutingSummary struct {
	Version uint64 `json:"version"` // of the configuration
	AgeMS   int64  `json:"age"`     // ms since the upstreams were proven up to date; -1: never
	Routes  int    `json:"routes"`
	Serving int    `json:"serving"` // upstreams
	Leaving int    `json:"leaving"`
	Missing int    `json:"missing"`
	Gone    int    `json:"gone"`
}

// Instance is one instance as an entry sees it.
type Instance struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Centre    string `json:"centre"`
	State     string `json:"state"`
	Admin     string `json:"admin,omitempty"`
	Dead      bool   `json:"dead"`
	Connected bool   `json:"connected"`
}
