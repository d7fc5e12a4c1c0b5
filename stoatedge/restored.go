package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// handleRestore takes in that the platform came back from an older copy of itself, as its answer or the parent
// said. Every topic is listed anew; calls under way were asked by revisions of before.
func (ctl *controller) handleRestore(now time.Time, era stoatpaddle.Era, source string) {
	before := ctl.book.Era()
	ctl.book.Restore(now, era)
	for _, t := range ctl.topics {
		if ctl.feeds[t].Restored(era) {
			ctl.discardCall(t)
		}
	}
	if before == 0 {
		return
	}
	ctl.openProof, ctl.restoreGraceEnd = nil, now.Add(ctl.returnTimeout)
	ctl.log(EventRestored, stoatevent.F("era", era.String()), stoatevent.F("before", before.String()), stoatevent.F("known", ctl.known.String()),
		stoatevent.F("version", ctl.book.Declaration().Version.String()), stoatevent.F("source", source))
}

// discardCall gives up the call of a topic that is under way, and what it may still bring.
func (ctl *controller) discardCall(t topic) {
	if ctl.pending[t] {
		ctl.discard[t] = true
		ctl.emit(cancelCall{topic: t})
	}
}
