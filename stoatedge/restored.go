package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// restored takes in that the platform came back from an older copy of itself, as its answer or the parent
// said. Every topic is listed anew; calls under way were asked by revisions of before.
func (k *keeper) restored(now time.Time, era stoatpaddle.Era, source string) {
	before := k.book.Era()
	k.book.BeginEra(now, era)
	for _, t := range k.topics {
		if k.feeds[t].BeginEra(era) {
			k.drop(t)
		}
	}
	if before == 0 {
		return
	}
	k.open, k.settled = nil, now.Add(k.back)
	k.log(EventPlatformRestored, stoatevent.F("era", era.String()), stoatevent.F("before", before.String()), stoatevent.F("known", k.known.String()),
		stoatevent.F("version", k.book.Declaration().Version.String()), stoatevent.F("source", source))
}

// drop gives up the call of a topic that is under way, and what it may still bring.
func (k *keeper) drop(t topic) {
	if k.pending[t] {
		k.stale[t] = true
		k.do(interrupt{topic: t})
	}
}
