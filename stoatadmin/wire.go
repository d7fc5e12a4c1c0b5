package stoatadmin

import (
	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// HeaderToken names a change, so that asking again about it is safe.
const HeaderToken = "Token"

// Outcome is how a change ended.
type Outcome string

// The outcomes of a change.
const (
	OutcomeAccepted Outcome = "accepted" // the platform has it
	OutcomeRefused  Outcome = "refused"  // it took no effect
	OutcomeUnknown  Outcome = "unknown"  // ask again with the token
)

// Response is the API's answer to a change.
type Response struct {
	Outcome     Outcome     `json:"outcome"`
	Number      string      `json:"number,omitempty"` // of the catalogue entry
	Title       string      `json:"title,omitempty"`
	Version     uint64      `json:"version,omitempty"` // that stands
	Token       string      `json:"token,omitempty"`
	Differences []string    `json:"differs,omitempty"`
	Faults      []wireFault `json:"faults,omitempty"`
}

type wireFault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Got     string `json:"got"`
	Want    string `json:"want"`
}

// StateChange is the body of a change of an instance's state.
type StateChange struct {
	State string `json:"state"`
}

func toFaults(list []*stoatpaddle.Fault) []wireFault {
	out := make([]wireFault, 0, len(list))
	for _, f := range list {
		out = append(out, wireFault{File: f.File, Section: f.Section, Key: f.Key, Got: f.Got, Want: f.Want})
	}
	return out
}

func toStatus(s stoatnode.Status) stoatstatus.Status {
	out := stoatstatus.Status{
		Instance: string(s.Self), Ready: s.Ready, Leaving: s.Leaving, PlatformAvailable: s.PlatformAvailable, WatchesPlatform: s.WatchesPlatform,
		Contracts: []stoatstatus.ContractVersion{}, Instances: []stoatstatus.Instance{},
	}
	for _, c := range s.Contracts {
		out.Contracts = append(out.Contracts, stoatstatus.ContractVersion{Customer: string(c.Customer), Version: uint64(c.Version)})
	}
	for _, dc := range s.Evacuated {
		out.Evacuated = append(out.Evacuated, string(dc))
	}
	for _, i := range s.Instances {
		out.Instances = append(out.Instances, stoatstatus.Instance{
			Name: string(i.ID), Role: string(i.Role), Centre: string(i.DataCentre), State: string(i.State),
			Admin: i.Admin, Dead: i.Dead, Connected: i.Connected,
		})
	}
	return out
}
