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

// HashKeyRef is the reference of the object that contains the hash key of the cluster.
var HashKeyRef = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectCluster, Name: "seed"}

const hashKeySize = 16

// adopt stores and applies an object unless the same or a newer version was seen before, whatever its source.
// A lagging replica, a peer after a long partition and a restored platform all offer old versions, and
// adopting one would revert accepted changes.
func (n *Node) adopt(now time.Time, o stoatpaddle.Object, from stoatpaddle.InstanceID) {
	held := n.objects[o.Ref]
	if o.Version <= held.Version {
		return
	}
	if stoatplatform.DescendsFrom(held, o) {
		// The platform was restored: its copy is an ancestor of the held object, under a version number of
		// the new era.
		n.rewrite(held, o.Version)
		return
	}
	n.objects[o.Ref] = o
	delete(n.requestedUntil, o.Ref)
	n.apply(now, o)
	n.announce(o, from)
}

// rewriteLost rewrites the objects of an earlier era that a complete list lacks: the restored platform lost
// them. An object of the same era can only be missing because somebody deleted it by hand.
func (n *Node) rewriteLost(l stoatpaddle.Listing) {
	listed := map[stoatpaddle.ObjectRef]bool{}
	for i := range l.Objects {
		listed[l.Objects[i].Ref] = true
	}
	for _, h := range n.haveAll().Objects {
		if !listed[h.Ref] && h.Version.Position().Era < l.Revision.Position().Era {
			n.rewrite(n.objects[h.Ref], 0)
		}
	}
}

// rewrite writes an object again on top of the version base, so that accepted changes are not reverted. All
// entries that watch the platform do this, and the platform accepts the first write.
func (n *Node) rewrite(held stoatpaddle.Object, base stoatpaddle.Version) {
	if !n.isWatcher() {
		return
	}
	shown := "nothing"
	if base > 0 {
		shown = base.Position().String()
	}
	n.log(EventObjectRewritten, stoatevent.F("object", held.Ref.String()), stoatevent.F("held", held.Version.Position().String()),
		stoatevent.F("shown", shown))
	held.Version = base
	n.emit(Rewrite{Object: held})
}

func (n *Node) apply(now time.Time, o stoatpaddle.Object) {
	switch o.Ref.Kind {
	case stoatpaddle.ObjectContract:
		n.applyContract(o)
	case stoatpaddle.ObjectInstance:
		n.applyInstance(now, o)
	case stoatpaddle.ObjectCluster:
		n.applyHashKey(o)
	case stoatpaddle.ObjectEvacuation:
		n.applyEvacuation(o)
	}
}

// applyEvacuation starts or ends the evacuation of the data centre that the object is named after. The value
// of the object is not used.
func (n *Node) applyEvacuation(o stoatpaddle.Object) {
	dc := stoatpaddle.DataCentreID(o.Ref.Name)
	event := EventEvacuated
	if o.Deleted {
		event = EventEvacuationWithdrawn
		delete(n.evacuated, dc)
	} else {
		n.evacuated[dc] = true
	}
	n.dirty = true
	n.log(event, stoatevent.F("centre", string(dc)), stoatevent.F("version", o.Version.String()))
}

// markEvacuated marks the upstreams in evacuated data centres as leaving, so that they get no new flows or
// calls, even if no other upstreams are left. Open flows continue.
func (n *Node) markEvacuated(in *stoatview.Input) {
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
		n.logInvalid(o, err)
		return
	}
	n.contracts[id] = validContract{contract: c, version: o.Version}
	n.dirty = true
}

func (n *Node) logInvalid(o stoatpaddle.Object, err error) {
	cause := "it names another customer"
	if err != nil {
		cause = err.Error()
	}
	n.log(EventObjectInvalid, stoatevent.F("object", o.Ref.String()), stoatevent.F("version", o.Version.String()), stoatevent.F("cause", cause))
}

func (n *Node) applyHashKey(o stoatpaddle.Object) {
	raw, err := hex.DecodeString(string(trimQuotes(o.Value)))
	if o.Deleted || o.Ref != HashKeyRef || err != nil || len(raw) != hashKeySize {
		return
	}
	n.hashKey = &stoatpacket.Seed{K0: binary.BigEndian.Uint64(raw), K1: binary.BigEndian.Uint64(raw[8:])}
	n.dirty = true
}

func trimQuotes(b []byte) []byte {
	if len(b) >= 2 && b[0] == '"' && b[len(b)-1] == '"' {
		return b[1 : len(b)-1]
	}
	return b
}

// servable returns the contracts that do not conflict with one that was written earlier.
func (n *Node) servable() []stoatpaddle.Contract {
	ids := make([]stoatpaddle.CustomerID, 0, len(n.contracts))
	for id := range n.contracts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b stoatpaddle.CustomerID) int {
		return cmp.Compare(n.contracts[a].version, n.contracts[b].version)
	})
	var out []stoatpaddle.Contract
	claims := stoatcontract.NewClaims()
	for _, id := range ids {
		c := n.contracts[id].contract
		if faults := claims.Add("contract/"+string(id), c); len(faults) > 0 {
			n.logConflict(id, faults[0])
			continue
		}
		out = append(out, c)
	}
	return out
}

// logConflict logs that a contract is not served, once for each of its versions.
func (n *Node) logConflict(id stoatpaddle.CustomerID, fault *stoatpaddle.Fault) {
	version := n.contracts[id].version
	if n.loggedConflicts[id] == version {
		return
	}
	n.loggedConflicts[id] = version
	n.log(EventObjectConflict, stoatevent.F("customer", string(id)), stoatevent.F("fault", fault.Error()))
}

// digest returns a digest of the versions of all objects, independent of the order of their arrival.
func (n *Node) digest() stoatmessage.Digest {
	var d stoatmessage.Digest
	for ref, o := range n.objects {
		d.Newest = max(d.Newest, o.Version)
		d.Checksum ^= uint32(xxhash.Sum64String(ref.String() + "@" + o.Version.String()))
	}
	return d
}

func itoa(n int) string { return strconv.Itoa(n) }

func sortedIDs[T any](m map[stoatpaddle.InstanceID]T) []stoatpaddle.InstanceID {
	ids := make([]stoatpaddle.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
