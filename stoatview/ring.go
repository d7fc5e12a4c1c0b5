package stoatview

import (
	"net/netip"
	"slices"
	"sort"

	"github.com/stoatpaddle/stoatpaddle"
)

// Member is one entry instance as traffic sees it.
type Member struct {
	ID         stoatpaddle.InstanceID
	DataCentre stoatpaddle.DataCentreID
	Relay      netip.AddrPort
	seed       uint64
}

// NewMember returns a member.
func NewMember(id stoatpaddle.InstanceID, dc stoatpaddle.DataCentreID, relay netip.AddrPort) *Member {
	return &Member{ID: id, DataCentre: dc, Relay: relay, seed: seedOf("entry", string(id))}
}

// Ring is the entries that own flows, ascending by id; it never changes.
type Ring struct {
	Members []*Member
	centres []stoatpaddle.DataCentreID // of the members, each once
}

// NewRing returns a ring of the members.
func NewRing(members []*Member) *Ring {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return newSortedEntrySet(members)
}

func newSortedEntrySet(members []*Member) *Ring {
	r := &Ring{Members: members}
	for _, m := range members {
		if !slices.Contains(r.centres, m.DataCentre) {
			r.centres = append(r.centres, m.DataCentre)
		}
	}
	return r
}

// Owner returns the entry that decides for a flow whose first choice is in dc, or nil from an empty ring.
//
// The owner shares its data centre with the first choice, so that a partition
// between data centres does not part a flow's owner from its upstream. Where the
// data centre has no entry, one of the others decides.
func (r *Ring) Owner(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) *Member {
	owner, _ := r.OwnerNext(k, dc)
	return owner
}

// OwnerNext returns the owner and the entry that would own the flow without it.
func (r *Ring) OwnerNext(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) (owner, next *Member) {
	owner, next = r.topTwo(k, dc, nil)
	if owner == nil {
		return r.topTwo(k, "", nil)
	}
	if next == nil {
		next, _ = r.topTwo(k, "", owner)
	}
	return owner, next
}

// topTwo returns the topTwo highest scores within dc, or over all data centres if dc is empty.
func (r *Ring) topTwo(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID, excluded *Member) (first, second *Member) {
	var firstScore, secondScore uint64
	for _, m := range r.Members {
		if m == excluded || (dc != "" && m.DataCentre != dc) {
			continue
		}
		score := mix(uint64(k) ^ m.seed)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = m, score
		case second == nil || score > secondScore:
			second, secondScore = m, score
		}
	}
	return first, second
}

// Find returns the member with the id, or nil.
func (r *Ring) Find(id stoatpaddle.InstanceID) *Member {
	i := sort.Search(len(r.Members), func(i int) bool { return r.Members[i].ID >= id })
	if i < len(r.Members) && r.Members[i].ID == id {
		return r.Members[i]
	}
	return nil
}

// without returns the ring less the members for which drop is true, and the ring itself if there are none.
func (r *Ring) without(remove func(*Member) bool) *Ring {
	kept := make([]*Member, 0, len(r.Members))
	for _, m := range r.Members {
		if !remove(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == len(r.Members) {
		return r
	}
	return newSortedEntrySet(kept)
}

func (r *Ring) equal(t *Ring) bool {
	if len(r.Members) != len(t.Members) {
		return false
	}
	for i, m := range r.Members {
		if m.ID != t.Members[i].ID || m.Relay != t.Members[i].Relay {
			return false
		}
	}
	return true
}
