package stoatroute

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Era returns the era of all revisions here; 0: none was said.
func (b *Builder) Era() stoatpaddle.Era { return b.era }

// leaving corrects a registration of the copy, from before the upstream said that it leaves: it writes so
// again only with its next heartbeat, and new flows would be cut when it ends.
func (b *Builder) leaving(now time.Time, e *entry, r stoatpaddle.Registration) stoatpaddle.Registration {
	r.Leaving = r.Leaving || e.left && now.Before(b.settled)
	return r
}

// BeginEra takes in that the platform came back from an older copy of itself. Revisions are given out
// again: compared with those of before, whatever is written from now on would look old for as long as
// the platform has not counted up to them. So all that is believed counts as earlier than anything of
// the new era. It stays believed: the copy lacks what was written last.
func (b *Builder) BeginEra(now time.Time, era stoatpaddle.Era) {
	before := b.era
	b.era, b.dirty = era, true
	if before == 0 {
		return
	}
	b.revision, b.settled, b.members.staleAll = 0, now.Add(b.cfg.GracePeriod), true
	for _, e := range b.ups {
		e.edit().Revision = 0
		e.left = e.left || e.up.Leaving && !e.spoiled
	}
	for d, s := range b.evacuationStates {
		s.Revision, s.lost = 0, time.Time{}
		b.evacuationStates[d] = s
	}
}
