package stoatstatus

// Summary names a contract and its version.
type Summary struct {
	Customer string `json:"customer"`
	Version  uint64 `json:"version"`
}

// Report is what became of flows and calls on one entry since it started.
type Report struct {
	Instance string `json:"instance"`
	Opened   int64  `json:"opened"`   // flows
	Reset    int64  `json:"reset"`    // flows that could not live on
	Limited  int64  `json:"limited"`  // flows refused before they opened
	Answered int64  `json:"answered"` // calls
	Refused  int64  `json:"refused"`  // calls, not run
	Unknown  int64  `json:"unknown"`  // calls that may have run
	Cut      int64  `json:"cut"`      // answers cut short, and aborted
}

// Add sums two reports up.
func (r Report) Add(o Report) Report {
	return Report{
		Opened: r.Opened + o.Opened, Reset: r.Reset + o.Reset, Limited: r.Limited + o.Limited,
		Answered: r.Answered + o.Answered, Refused: r.Refused + o.Refused, Unknown: r.Unknown + o.Unknown, Cut: r.Cut + o.Cut,
	}
}

// Status is what is in force on one entry.
type Status struct {
	Instance  string     `json:"instance"`
	Ready     bool       `json:"ready"`
	Leaving   bool       `json:"leaving"`
	Platform  bool       `json:"platform"`
	Watching  bool       `json:"watching"`
	Contracts []Summary  `json:"contracts"`
	Instances []Instance `json:"instances"`
	Evacuated []string   `json:"evacuated,omitempty"` // data centres; on a tunnel fabric
	View      *View      `json:"view,omitempty"`      // on an echo fabric
}

// View is what an entry on an echo fabric believes about routes and upstreams.
type View struct {
	Version uint64 `json:"version"` // of the configuration
	Age     int64  `json:"age"`     // ms since the upstreams were proven up to date; -1: never
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
