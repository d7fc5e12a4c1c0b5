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

// EntrySet is the entries that own flows, ascending by id; it never changes.
type EntrySet struct {
	Members []*Member
	centres []stoatpaddle.DataCentreID // of the members, each once
}

// NewEntrySet returns a ring of the members.
func NewEntrySet(members []*Member) *EntrySet {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return ringOfSorted(members)
}

func ringOfSorted(members []*Member) *EntrySet {
	r := &EntrySet{Members: members}
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
func (r *EntrySet) Owner(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) *Member {
	owner, _ := r.OwnerAndNext(k, dc)
	return owner
}

// OwnerAndNext returns the owner and the entry that would own the flow without it.
func (r *EntrySet) OwnerAndNext(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID) (owner, next *Member) {
	owner, next = r.two(k, dc, nil)
	if owner == nil {
		return r.two(k, "", nil)
	}
	if next == nil {
		next, _ = r.two(k, "", owner)
	}
	return owner, next
}

// two returns the two highest scores within dc, or over all data centres if dc is empty.
func (r *EntrySet) two(k stoatpaddle.FlowHash, dc stoatpaddle.DataCentreID, skip *Member) (first, second *Member) {
	var top, next uint64
	for _, m := range r.Members {
		if m == skip || (dc != "" && m.DataCentre != dc) {
			continue
		}
		h := mix(uint64(k) ^ m.seed)
		switch {
		case first == nil || h > top:
			second, next = first, top
			first, top = m, h
		case second == nil || h > next:
			second, next = m, h
		}
	}
	return first, second
}

// Find returns the member with the id, or nil.
func (r *EntrySet) Find(id stoatpaddle.InstanceID) *Member {
	i := sort.Search(len(r.Members), func(i int) bool { return r.Members[i].ID >= id })
	if i < len(r.Members) && r.Members[i].ID == id {
		return r.Members[i]
	}
	return nil
}

// without returns the ring less the members for which drop is true, and the ring itself if there are none.
func (r *EntrySet) without(drop func(*Member) bool) *EntrySet {
	kept := make([]*Member, 0, len(r.Members))
	for _, m := range r.Members {
		if !drop(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == len(r.Members) {
		return r
	}
	return ringOfSorted(kept)
}

func (r *EntrySet) same(t *EntrySet) bool {
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
