package stoatview

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
)

// mix is the finalizer of MurmurHash3 (Appleby 2011): it spreads the flow's keyed hash anew for each candidate.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// seedOf derives a candidate's seed from its kind and name, so that entries and upstreams choose independently.
func seedOf(kind, name string) uint64 { return xxhash.Sum64String(kind + "\x00" + name) }

// score is the weighted rendezvous score, highest wins (Schindelhauer and Schomaker 2005).
func score(k stoatpaddle.FlowHash, seed uint64, w stoatpaddle.Weight) float64 {
	const half = 0.5
	u := (float64(mix(uint64(k)^seed)>>11) + half) / (1 << 53)
	return -float64(w) / math.Log(u)
}

// UpstreamKeyOf returns the name of an upstream in records between entries.
func UpstreamKeyOf(ref stoatpaddle.ServiceRef, id stoatpaddle.UpstreamID) stoatpaddle.UpstreamKey {
	return stoatpaddle.UpstreamKey(xxhash.Sum64String(ref.String() + "/" + string(id)))
}
