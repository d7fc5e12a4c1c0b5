package stoatpaddle

import "cmp"

// Position is a place in the platform's history: a revision, and which history it belongs to. A platform
// that is restored from a copy gives revisions out again, so that a revision alone orders nothing.
type Position struct {
	Era      Era
	Revision Version // 0: before anything
}

// Before tells whether the position is earlier than the other one.
func (p Position) Before(o Position) bool { return p.compare(o) < 0 }

// Max returns the later one of two positions.
func (p Position) Max(o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}

func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// String returns era/revision, or the revision alone where the platform says no era.
func (p Position) String() string {
	if p.Era == 0 {
		return p.Revision.String()
	}
	return p.Era.String() + "/" + p.Revision.String()
}

// revisionBits leaves room for a hundred thousand writes a second for 89 years, and for 65,000 restores.
const revisionBits = 48

// Version returns the position as one number that orders as positions do, for what operators' files,
// conditions and peers carry as one. In the first era it is the revision.
func (p Position) Version() Version {
	if p.Era == 0 || p.Revision == 0 {
		return p.Revision
	}
	return Version(p.Era-1)<<revisionBits | p.Revision
}

// Position is the reverse of Position.Version.
func (v Version) Position() Position {
	return Position{Era: Era(v>>revisionBits) + 1, Revision: v & (1<<revisionBits - 1)}
}
