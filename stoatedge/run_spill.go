package stoatedge

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoatspill"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// spillRules maps the settings to rules.
var spillRules = map[stoatsetting.SpillRule]stoatspill.Rule{
	stoatsetting.SpillByRoom: stoatspill.RuleRoom,
	stoatsetting.SpillByBoth: stoatspill.RuleBoth,
	stoatsetting.SpillLocal:  stoatspill.RuleLocal,
	stoatsetting.SpillNever:  stoatspill.RuleNone,
}

// spillConfig returns what the settings say of openings that go to other data centres.
func spillConfig(set stoatsetting.Settings) stoatecho.SpillConfig {
	return stoatecho.SpillConfig{Rule: spillRules[set.SpillRule], Excluded: set.SpillExcluded}
}

// updateSpill brings the decisions about openings that go to other data centres up to date, and logs when a spill
// begins or ends.
func (e *Edge) updateSpill(now time.Time) {
	e.engineMu.Lock()
	changes := e.engine.UpdateSpill(now, e.table.Load())
	e.engineMu.Unlock()
	for i := range changes {
		c := &changes[i]
		fields := []stoatevent.Field{
			stoatevent.F("service", string(c.Service)), stoatevent.F("centre", string(e.settings().DataCentre)), stoatevent.F("reason", c.State.Reason.String()),
			stoatevent.F("turned", shareText(c.State.Rejected)), stoatevent.F("refused", shareText(c.State.Refused)), stoatevent.F("targets", targetsText(c.State.Targets)),
		}
		definition := EventSpillEnded
		if c.Started {
			definition = EventSpillStarted
		}
		e.log.emit(now, definition, fields...)
	}
}

// targetsText formats the rooms of other data centres, in openings a second.
func targetsText(list []stoatspill.TargetState) string {
	var names []string
	for i := range list {
		names = append(names, fmt.Sprintf("%s=%.0f", list[i].DataCentre, list[i].Room))
	}
	return joinNames(names)
}

// spillStates returns the state of the spillover of each service that was overloaded here.
func (e *Edge) spillStates(now time.Time) []stoatecho.SpillState {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.engine.SpillStates(now)
}

// spillStatuses returns the state of the spillover for operators.
func (e *Edge) spillStatuses(now time.Time) []stoatstatus.Spill {
	var out []stoatstatus.Spill
	for _, s := range e.spillStates(now) {
		x := stoatstatus.Spill{
			Service: string(s.Service), Spilling: s.Spilling, Reason: s.Reason.String(), Rule: s.Rule.String(), RejectedShare: s.Rejected, RefusedShare: s.Refused, Share: s.Share,
		}
		if !s.Since.IsZero() {
			x.SinceMS = now.Sub(s.Since).Milliseconds()
		}
		for i := range s.Targets {
			t := &s.Targets[i]
			x.Targets = append(x.Targets, stoatstatus.Room{
				Centre: string(t.DataCentre), PerSecond: t.Room, AgeMS: t.Age.Milliseconds(), Usable: t.Usable, Spilling: t.Spilling, Spilled: t.Spilled,
			})
		}
		out = append(out, x)
	}
	return out
}

// writeSpill writes the metrics of the spillover. Services come and go, so the lines are made at each scrape.
func (e *Edge) writeSpill(w io.Writer) {
	for _, s := range e.spillStates(clock()) {
		// A client that has closed the connection needs no answer.
		_, _ = fmt.Fprintf(w, "stoatpaddle_spill_active{service=%q} %d\nstoatpaddle_spill_share{service=%q} %s\n", s.Service, oneIf(s.Spilling), s.Service, strconv.FormatFloat(s.Share, 'g', 4, 64))
		for i := range s.Targets {
			t := &s.Targets[i]
			_, _ = fmt.Fprintf(w, "stoatpaddle_spill_room{service=%q,centre=%q} %g\nstoatpaddle_spill_opened_total{service=%q,centre=%q} %d\n", s.Service, t.DataCentre, t.Room, s.Service, t.DataCentre, t.Spilled)
		}
	}
}
