package stoatedge

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// logLevelChanges logs which priority levels began and ended to be limited.
func (e *Edge) logLevelChanges(now time.Time) {
	e.engineMu.Lock()
	changes := e.engine.TakeLevelChanges(now)
	e.engineMu.Unlock()
	for i := range changes {
		c := &changes[i]
		fields := []stoatevent.Field{
			stoatevent.F("service", string(c.Group.Service)), stoatevent.F("centre", string(c.Group.DataCentre)), stoatevent.F("priority", strconv.Itoa(c.Priority)),
			stoatevent.F("turned", shareText(c.RejectedShare)), stoatevent.F("shared", strconv.FormatBool(c.Shared)),
		}
		if c.Limited {
			e.log.emit(now, EventLevelLimited, append(fields, stoatevent.F("share", shareText(c.Share)))...)
			continue
		}
		e.log.emit(now, EventLevelUnlimited, append(fields, stoatevent.F("lasted", c.Lasted.Round(time.Millisecond).String()),
			stoatevent.F("refused", strconv.FormatInt(c.Refused, 10)))...)
	}
}

// levelStates returns the state of the priority levels at services with two or more of them.
func (e *Edge) levelStates(now time.Time) []stoatecho.LevelState {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.engine.LevelStates(now)
}

// levelStatuses returns the state of the priority levels for operators.
func (e *Edge) levelStatuses(now time.Time) []stoatstatus.Level {
	var out []stoatstatus.Level
	for _, g := range e.levelStates(now) {
		for i := range g.Levels {
			v := &g.Levels[i]
			out = append(out, stoatstatus.Level{
				Service: string(g.Group.Service), Centre: string(g.Group.DataCentre), Priority: v.Priority, Arrived: v.Arrived, Admitted: v.Admitted,
				Share: v.Share, RejectedShare: g.RejectedShare, Shared: g.Shared, LimitedMS: limitedFor(now, v).Milliseconds(), Refused: refusedByReason(v),
			})
		}
	}
	return out
}

// limitedFor returns for how long a level has been limited; 0: it is not.
func limitedFor(now time.Time, v *stoatadmission.LevelState) time.Duration {
	if v.LimitedSince.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Sub(v.LimitedSince))
}

// refusedByReason returns how many openings of a level were refused since the start, by reason.
func refusedByReason(v *stoatadmission.LevelState) map[string]int64 {
	out := map[string]int64{}
	for r := stoatadmission.Admitted + 1; r < stoatadmission.ReasonCount; r++ {
		if n := v.Counts[r]; n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// writeLevels writes the metrics of priority levels. Services come and go, so the lines are made at each scrape.
func (e *Edge) writeLevels(w io.Writer) {
	now := clock()
	for _, g := range e.levelStates(now) {
		for i := range g.Levels {
			v := &g.Levels[i]
			label := fmt.Sprintf("service=%q,centre=%q,priority=\"%d\"", g.Group.Service, g.Group.DataCentre, v.Priority)
			// A client that has closed the connection needs no answer.
			_, _ = fmt.Fprintf(w, "stoatpaddle_level_arrived{%s} %g\nstoatpaddle_level_admitted{%s} %g\nstoatpaddle_level_share{%s} %g\n"+
				"stoatpaddle_level_rejected{%s} %g\nstoatpaddle_level_limited_seconds{%s} %g\n",
				label, v.Arrived, label, v.Admitted, label, v.Share, label, g.RejectedShare, label, limitedFor(now, v).Seconds())
			for r := stoatadmission.Admitted + 1; r < stoatadmission.ReasonCount; r++ {
				_, _ = fmt.Fprintf(w, "stoatpaddle_level_refused_total{%s,reason=%q} %d\n", label, r, v.Counts[r])
			}
		}
	}
}
