package stoatspill

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Reason says why openings go to other data centres, or why they do not.
type Reason uint8

// The reasons.
const (
	ReasonNone     Reason = iota // the data centre serves its callers
	ReasonRejected               // upstreams reject requests
	ReasonRefused                // entries refuse openings
	ReasonNoRoom                 // upstreams reject or entries refuse, and no other data centre has room
)

// String returns the reason's name.
func (r Reason) String() string { return nameOf(reasonNames[:], int(r)) }

var reasonNames = [...]string{"none", "rejected", "refused", "no room"}

// Change is what an update changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Started          // openings spill from now on
	Ended            // openings no longer spill
)

// State is what operators see of a Decider.
type State struct {
	Rule     Rule
	Spilling bool
	Since    time.Time // start or end of the spill; zero: there was none
	Reason   Reason
	// Rejected and Refused are the shares of rejected requests and refused openings at home.
	Rejected, Refused float64
	Share             float64 // share of the openings here that may go elsewhere
	Targets           []TargetState
}

// TargetState is what operators see of another data centre.
type TargetState struct {
	DataCentre stoatpaddle.DataCentreID
	Room       float64 // openings a second, for the whole data centre
	Age        time.Duration
	Usable     bool
	Spilling   bool // it spills itself
	Spilled    int64
}

// State returns the state for operators.
func (d *Decider) State(now time.Time) State {
	s := State{Rule: d.cfg.Rule, Spilling: d.spilling, Since: d.since, Reason: d.reason, Rejected: d.rejectedShare(), Refused: d.refusedShare()}
	s.Share = d.spilledShare(now)
	for i := range d.rooms {
		r := &d.rooms[i]
		t := TargetState{DataCentre: r.DataCentre, Room: r.PerSecond, Age: now.Sub(r.At), Usable: d.usable(now, r, nil), Spilling: r.Spilling}
		if b := d.budgets[r.DataCentre]; b != nil {
			t.Spilled = b.spilled
		}
		s.Targets = append(s.Targets, t)
	}
	return s
}

// spilledShare returns the share of the openings here that may go elsewhere.
func (d *Decider) spilledShare(now time.Time) float64 {
	arrived := d.admitted + d.refused
	switch {
	case !d.spilling || arrived <= 0:
		return 0
	case d.cfg.Rule == RuleLocal:
		return 1
	}
	toRefused, toAdmitted := d.probabilities(d.usableRoom(now, nil))
	return (toRefused*d.refused + toAdmitted*d.admitted) / arrived
}
