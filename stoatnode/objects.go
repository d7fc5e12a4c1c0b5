package stoatnode

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// SeedRef names the object that holds the cluster's hash key.
var SeedRef = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectCluster, Name: "seed"}

const seedBytes = 16

// adopt takes an object in unless a version as new was seen before, whoever offers it:
// a lagging replica, a peer that was cut off for long and a restored platform all offer
// old versions, and one adopted would revert what was accepted.
func (n *Node) adopt(now time.Time, o stoatpaddle.Object, from stoatpaddle.InstanceID) {
	held := n.objects[o.Ref]
	if o.Version <= held.Version {
		return
	}
	if stoatplatform.DescendsFrom(held, o) {
		// The platform was restored, and has what was amended since at a version that is given out anew.
		n.rewrite(held, o.Version)
		return
	}
	n.objects[o.Ref] = o
	delete(n.wanted, o.Ref)
	n.apply(now, o)
	n.announce(o, from)
}

// findLost writes again what a complete list lacks that was known before the platform was restored.
// In one era an object can only be missing since somebody took it out by hand.
func (n *Node) findLost(l stoatpaddle.Listing) {
	listed := map[stoatpaddle.ObjectRef]bool{}
	for i := range l.Objects {
		listed[l.Objects[i].Ref] = true
	}
	for _, h := range n.everything().Objects {
		if !listed[h.Ref] && h.Version.Position().Era < l.Revision.Position().Era {
			n.rewrite(n.objects[h.Ref], 0)
		}
	}
}

// rewrite writes an object again on top of that version: what was accepted never reverts. Those that
// watch for the others do so, and the platform takes the first.
func (n *Node) rewrite(held stoatpaddle.Object, on stoatpaddle.Version) {
	if !n.watches() {
		return
	}
	shown := "nothing"
	if on > 0 {
		shown = on.Position().String()
	}
	n.log(EventObjectRewritten, stoatevent.F("object", held.Ref.String()), stoatevent.F("held", held.Version.Position().String()),
		stoatevent.F("shown", shown))
	held.Version = on
	n.do(Rewrite{Object: held})
}

func (n *Node) apply(now time.Time, o stoatpaddle.Object) {
	switch o.Ref.Kind {
	case stoatpaddle.ObjectContract:
		n.applyContract(o)
	case stoatpaddle.ObjectInstance:
		n.applyInstance(now, o)
	case stoatpaddle.ObjectCluster:
		n.applySeed(o)
	case stoatpaddle.ObjectEvacuation:
		n.applyEvacuation(o)
	}
}

// applyEvacuation follows what operators want of a data centre; its object's name says all.
func (n *Node) applyEvacuation(o stoatpaddle.Object) {
	dc := stoatpaddle.DataCentreID(o.Ref.Name)
	entry := EventEvacuated
	if o.Deleted {
		entry = EventEvacuationWithdrawn
		delete(n.evacuated, dc)
	} else {
		n.evacuated[dc] = true
	}
	n.dirty = true
	n.log(entry, stoatevent.F("centre", string(dc)), stoatevent.F("version", o.Version.String()))
}

// leaveEvacuated has the upstreams of evacuated data centres take no new work, also where nothing else is
// left; what is open there goes on.
func (n *Node) leaveEvacuated(in *stoatview.Input) {
	for i := range in.Contracts {
		for _, svc := range in.Contracts[i].Services {
			for _, u := range svc.Upstreams {
				if n.evacuated[u.DataCentre] {
					in.Leaving[stoatpaddle.InstanceID(u.ID)] = true
				}
			}
		}
	}
}

func (n *Node) applyContract(o stoatpaddle.Object) {
	id := stoatpaddle.CustomerID(o.Ref.Name)
	if o.Deleted {
		delete(n.contracts, id)
		n.dirty = true
		return
	}
	c, err := stoatcontract.Decode(o.Value)
	if err != nil || c.Customer != id {
		n.invalid(o, err)
		return
	}
	n.contracts[id] = served{contract: c, version: o.Version}
	n.dirty = true
}

func (n *Node) invalid(o stoatpaddle.Object, err error) {
	cause := "it names another customer"
	if err != nil {
		cause = err.Error()
	}
	n.log(EventObjectInvalid, stoatevent.F("object", o.Ref.String()), stoatevent.F("version", o.Version.String()), stoatevent.F("cause", cause))
}

func (n *Node) applySeed(o stoatpaddle.Object) {
	raw, err := hex.DecodeString(string(trimQuotes(o.Value)))
	if o.Deleted || o.Ref != SeedRef || err != nil || len(raw) != seedBytes {
		return
	}
	n.seed = &stoatpacket.Seed{K0: binary.BigEndian.Uint64(raw), K1: binary.BigEndian.Uint64(raw[8:])}
	n.dirty = true
}

func trimQuotes(b []byte) []byte {
	if len(b) >= 2 && b[0] == '"' && b[len(b)-1] == '"' {
		return b[1 : len(b)-1]
	}
	return b
}

// servable returns the contracts that do not claim what an earlier one has.
func (n *Node) servable() []stoatpaddle.Contract {
	ids := make([]stoatpaddle.CustomerID, 0, len(n.contracts))
	for id := range n.contracts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b stoatpaddle.CustomerID) int {
		return cmp.Compare(n.contracts[a].version, n.contracts[b].version)
	})
	var out []stoatpaddle.Contract
	held := stoatcontract.NewClaims()
	for _, id := range ids {
		c := n.contracts[id].contract
		if faults := held.Add("contract/"+string(id), c); len(faults) > 0 {
			n.unserved(id, faults[0])
			continue
		}
		out = append(out, c)
	}
	return out
}

// unserved reports a contract that is not served, once for each of its versions.
func (n *Node) unserved(id stoatpaddle.CustomerID, fault *stoatpaddle.Fault) {
	version := n.contracts[id].version
	if n.conflicts[id] == version {
		return
	}
	n.conflicts[id] = version
	n.log(EventObjectConflict, stoatevent.F("customer", string(id)), stoatevent.F("fault", fault.Error()))
}

// digest sums up what is held, independent of the order in which it came.
func (n *Node) digest() stoatmessage.Digest {
	var d stoatmessage.Digest
	for ref, o := range n.objects {
		d.Newest = max(d.Newest, o.Version)
		d.Checksum ^= uint32(xxhash.Sum64String(ref.String() + "@" + o.Version.String()))
	}
	return d
}

func count(n int) string { return strconv.Itoa(n) }

func sortedIDs[T any](m map[stoatpaddle.InstanceID]T) []stoatpaddle.InstanceID {
	ids := make([]stoatpaddle.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
