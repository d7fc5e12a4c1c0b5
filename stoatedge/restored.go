package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// handleRestore processes a restore of the platform from an older copy, which an answer or the parent
// reported. Every topic is listed anew, since calls in progress use revisions from before the restore.
func (ctl *controller) handleRestore(now time.Time, era stoatpaddle.Era, source string) {
	before := ctl.state.Era()
	ctl.state.BeginEra(now, era)
	for _, t := range ctl.topics {
		if ctl.feeds[t].BeginEra(era) {
			ctl.discardCall(t)
		}
	}
	if before == 0 {
		return
	}
	ctl.pendingBarrier, ctl.restoreGraceEnd = nil, now.Add(ctl.gracePeriod)
	ctl.log(EventPlatformRestored, stoatevent.F("era", era.String()), stoatevent.F("before", before.String()), stoatevent.F("known", ctl.known.String()),
		stoatevent.F("version", ctl.state.Declaration().Version.String()), stoatevent.F("source", source))
}

// discardCall cancels the call in progress of a topic, and discards what it still brings.
func (ctl *controller) discardCall(t topic) {
	if ctl.pending[t] {
		ctl.discard[t] = true
		ctl.emit(cancelCall{topic: t})
	}
}
