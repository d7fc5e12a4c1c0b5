package stoatpaddle

import "cmp"

// Position is a point in the platform's history: a revision and the era that it belongs to. A platform that
// is restored from a backup assigns the same revisions again, so that revisions alone are not ordered.
type Position struct {
	Era      Era
	Revision Version // 0: before the first write
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool { return p.compare(o) < 0 }

// Max returns the later of the two positions.
func (p Position) Max(o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}

func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// String returns era/revision, or the revision alone if the platform does not report an era.
func (p Position) String() string {
	if p.Era == 0 {
		return p.Revision.String()
	}
	return p.Era.String() + "/" + p.Revision.String()
}

// revisionBits allows 100,000 writes a second for 89 years, and 65,000 restores in the remaining bits.
const revisionBits = 48

// Version returns the position as a single number with the same order, for the places that have room for one
// number only: operators' files, write conditions and messages between peers. In the first era the number is
// the revision.
func (p Position) Version() Version {
	if p.Era == 0 || p.Revision == 0 {
		return p.Revision
	}
	return Version(p.Era-1)<<revisionBits | p.Revision
}

// Position is the inverse of Position.Version. The revision of a platform that reports no era becomes a
// position in the first era.
func (v Version) Position() Position {
	return Position{Era: Era(v>>revisionBits) + 1, Revision: v & (1<<revisionBits - 1)}
}
