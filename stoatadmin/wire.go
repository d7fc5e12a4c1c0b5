package stoatadmin

import (
	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
)

// HeaderToken names a change, so that asking again about it is safe.
const HeaderToken = "Token"

// Outcome is how a change ended.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted" // the platform has it
	Refused  Outcome = "refused"  // it took no effect
	Unknown  Outcome = "unknown"  // ask again with the token
)

// Answer is the API's answer to a change.
type Answer struct {
	Outcome Outcome     `json:"outcome"`
	Number  string      `json:"number,omitempty"` // of the catalogue entry
	Title   string      `json:"title,omitempty"`
	Version uint64      `json:"version,omitempty"` // that stands
	Token   string      `json:"token,omitempty"`
	Differs []string    `json:"differs,omitempty"`
	Faults  []wireFault `json:"faults,omitempty"`
}

type wireFault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Got     string `json:"got"`
	Want    string `json:"want"`
}

// Mark is the body of a change of an instance's state.
type Mark struct {
	State string `json:"state"`
}

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
	View      *View      `json:"view,omitempty"` // on an echo fabric
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

func toFaults(list []*stoatpaddle.Fault) []wireFault {
	out := make([]wireFault, 0, len(list))
	for _, f := range list {
		out = append(out, wireFault{File: f.File, Section: f.Section, Key: f.Key, Got: f.Got, Want: f.Want})
	}
	return out
}

func toStatus(s stoatnode.Status) Status {
	out := Status{
		Instance: string(s.Self), Ready: s.Ready, Leaving: s.Leaving, Platform: s.Platform, Watching: s.Watching,
		Contracts: []Summary{}, Instances: []Instance{},
	}
	for _, c := range s.Contracts {
		out.Contracts = append(out.Contracts, Summary{Customer: string(c.Customer), Version: uint64(c.Version)})
	}
	for _, i := range s.Instances {
		out.Instances = append(out.Instances, Instance{
			Name: string(i.ID), Role: string(i.Role), Centre: string(i.DataCentre), State: string(i.State),
			Admin: i.Admin, Dead: i.Dead, Connected: i.Connected,
		})
	}
	return out
}
