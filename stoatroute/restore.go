package stoatroute

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Era returns the era of all known revisions; 0 means that none was reported.
func (b *Builder) Era() stoatpaddle.Era { return b.era }

// keepLeaving corrects a registration in a restored copy that dates from before the upstream announced that
// it is leaving. The upstream repeats the announcement only with its next heartbeat, and flows that were
// opened until then would be cut off when it ends.
func (b *Builder) keepLeaving(now time.Time, rec *record, r stoatpaddle.Registration) stoatpaddle.Registration {
	r.Leaving = r.Leaving || rec.wasLeaving && now.Before(b.restoreGraceEnd)
	return r
}

// BeginEra records that the platform was restored from an older copy of itself and has begun a new era. The
// platform assigns revisions a second time, so new writes would look outdated until their revisions pass those
// of the earlier era. Everything that is known therefore counts as earlier than anything of the new era, but it
// remains in use, because the copy lacks what was written last.
func (b *Builder) BeginEra(now time.Time, era stoatpaddle.Era) {
	before := b.era
	b.era, b.dirty = era, true
	if before == 0 {
		return
	}
	clear(b.claims)
	for id := range b.absentAsOf {
		b.absentAsOf[id] = 0
	}
	b.revision, b.restoreGraceEnd, b.recordShards.staleAll = 0, now.Add(b.cfg.GracePeriod), true
	for _, rec := range b.records {
		rec.edit().Revision = 0
		rec.wasLeaving = rec.wasLeaving || rec.up.Leaving && !rec.invalid
	}
	for d, s := range b.evacuationStates {
		s.Revision, s.missingSince = 0, time.Time{}
		b.evacuationStates[d] = s
	}
}
