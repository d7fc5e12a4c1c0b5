package stoatview

import (
	"net/netip"
	"slices"
	"sort"

	"github.com/stoatpaddle/stoatpaddle"
)

// Member is the routing data of one entry instance.
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

// EntrySet holds the entries that own flows, in ascending order of id. It is immutable.
type EntrySet struct {
	Members []*Member
	centres []stoatpaddle.DataCentreID // the data centres of the members, each listed once
}

// NewEntrySet returns the set of the members, which it sorts in place.
func NewEntrySet(members []*Member) *EntrySet {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return newSortedEntrySet(members)
}

// newSortedEntrySet returns the set of members that are already sorted by id.
func newSortedEntrySet(members []*Member) *EntrySet {
	e := &EntrySet{Members: members}
	for _, m := range members {
		if !slices.Contains(e.centres, m.DataCentre) {
			e.centres = append(e.centres, m.DataCentre)
		}
	}
	return e
}

// Owner returns the entry that decides for a flow whose preferred upstream is in dc, or nil if the set is
// empty.
//
// The owner is in the same data centre as the preferred upstream, so that a partition between data centres
// does not separate a flow's owner from its upstream. If the data centre has no entry, an entry of another
// data centre is the owner.
func (e *EntrySet) Owner(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) *Member {
	owner, _ := e.OwnerAndNext(k, dc)
	return owner
}

// OwnerAndNext returns the owner and its successor, the entry that would own the flow if the owner left.
func (e *EntrySet) OwnerAndNext(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) (owner, next *Member) {
	owner, next = e.topTwo(k, dc, nil)
	if owner == nil {
		return e.topTwo(k, "", nil)
	}
	if next == nil {
		next, _ = e.topTwo(k, "", owner)
	}
	return owner, next
}

// topTwo returns the members other than excluded with the two highest scores within dc, or over all data
// centres if dc is empty.
func (e *EntrySet) topTwo(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID, excluded *Member) (first, second *Member) {
	var firstScore, secondScore uint64
	for _, m := range e.Members {
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
func (e *EntrySet) Find(id stoatpaddle.InstanceID) *Member {
	i := sort.Search(len(e.Members), func(i int) bool { return e.Members[i].ID >= id })
	if i < len(e.Members) && e.Members[i].ID == id {
		return e.Members[i]
	}
	return nil
}

// without returns the set without the members for which remove returns true. It returns the set itself if
// none is removed.
func (e *EntrySet) without(remove func(*Member) bool) *EntrySet {
	kept := make([]*Member, 0, len(e.Members))
	for _, m := range e.Members {
		if !remove(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == len(e.Members) {
		return e
	}
	return newSortedEntrySet(kept)
}

// equal reports whether both sets have the same members at the same relay addresses.
func (e *EntrySet) equal(other *EntrySet) bool {
	if len(e.Members) != len(other.Members) {
		return false
	}
	for i, m := range e.Members {
		if m.ID != other.Members[i].ID || m.Relay != other.Members[i].Relay {
			return false
		}
	}
	return true
}
