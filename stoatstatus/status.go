package stoatstatus

// Summary is the version of one contract in force.
type Summary struct {
	Customer string `json:"customer"`
	Version  uint64 `json:"version"`
}

// Report counts the outcomes of flows and calls on one entry since it started.
type Report struct {
	Instance string `json:"instance"`
	Opened   int64  `json:"opened"`
	Reset    int64  `json:"reset"`   // flows that could not continue
	Limited  int64  `json:"limited"` // flows rejected at their opening
	Answered int64  `json:"answered"`
	Refused  int64  `json:"refused"` // calls rejected without being run
	Unknown  int64  `json:"unknown"` // calls that may have run
	Cut      int64  `json:"cut"`     // calls whose answer was truncated and aborted
}

// Add returns the sum of the counts of two reports, without an instance.
func (r Report) Add(o Report) Report {
	return Report{
		Opened: r.Opened + o.Opened, Reset: r.Reset + o.Reset, Limited: r.Limited + o.Limited,
		Answered: r.Answered + o.Answered, Refused: r.Refused + o.Refused, Unknown: r.Unknown + o.Unknown, Cut: r.Cut + o.Cut,
	}
}

// Status is the state of one entry.
type Status struct {
	Instance  string     `json:"instance"`
	Ready     bool       `json:"ready"`
	Leaving   bool       `json:"leaving"`
	Platform  bool       `json:"platform"` // whether the platform is reachable
	Watching  bool       `json:"watching"` // whether the entry watches the platform itself
	Contracts []Summary  `json:"contracts"`
	Instances []Instance `json:"instances"`
	Evacuated []string   `json:"evacuated,omitempty"` // data centres; only on a tunnel fabric
	View      *View      `json:"view,omitempty"`      // only on an echo fabric
}

// View summarizes the routes and upstreams known to an entry on an echo fabric.
type View struct {
	Version uint64 `json:"version"` // of the configuration
	Age     int64  `json:"age"`     // ms since the upstreams were last known to be up to date; -1 if never
	Routes  int    `json:"routes"`
	Serving int    `json:"serving"` // number of upstreams, as are the fields below
	Leaving int    `json:"leaving"`
	Missing int    `json:"missing"`
	Gone    int    `json:"gone"`
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
