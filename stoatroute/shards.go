package stoatroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
)

// Upstreams and services are divided into shards, which consecutive snapshots share. If one registration
// changes, only one shard and the list of one service are built again, instead of 14 MB for 43,000 upstreams
// and 4,000 lists.

// shardCount divides 43,000 upstreams into shards that each hold about as many as a whole deployment has today.
// Copying the array of shards costs as little as building one such shard.
const shardCount = 256

// upstreamShard holds the upstreams whose keys belong to one shard. It does not change once a table refers to
// it.
type upstreamShard struct {
	byKey map[stoatpaddle.UpstreamKey]*Upstream
	all   []*Upstream // also those whose key belongs to another upstream
	// maxChangeSeq is the greatest Upstream.ChangeSeq in the shard.
	maxChangeSeq uint64
}

// serviceShard holds the candidates of the services whose names belong to one shard.
type serviceShard map[stoatpaddle.ServiceID]candidates

func shardOfKey(k stoatpaddle.UpstreamKey) int { return int(k % shardCount) }

func shardOfService(id stoatpaddle.ServiceID) int {
	return int(xxhash.Sum64String(string(id)) % shardCount)
}

// shards is the part of a table that consecutive tables can share.
type shards struct {
	upstreams [shardCount]*upstreamShard
	services  [shardCount]serviceShard
}

// upstream returns the upstream with the given key, or nil.
func (s *shards) upstream(k stoatpaddle.UpstreamKey) *Upstream {
	if part := s.upstreams[shardOfKey(k)]; part != nil {
		return part.byKey[k]
	}
	return nil
}

// forEach calls fn for each upstream that can be found by its key.
func (s *shards) forEach(fn func(u *Upstream)) {
	for _, part := range s.upstreams {
		if part == nil {
			continue
		}
		for _, u := range part.byKey {
			fn(u)
		}
	}
}

// EachChangedKey calls fn at least once for each key whose upstream is another one, or has changed,
// compared with an earlier table. It may call fn for other keys too. If before is nil, it calls fn for all keys.
func (t *Table) EachChangedKey(before *Table, fn func(k stoatpaddle.UpstreamKey)) {
	for i, part := range t.upstreams {
		var old *upstreamShard
		if before != nil {
			old = before.upstreams[i]
		}
		if part == old {
			continue
		}
		if old != nil {
			for k := range old.byKey {
				fn(k)
			}
		}
		if part != nil {
			for k := range part.byKey {
				fn(k)
			}
		}
	}
}

// recordShards holds the builder's records by shard, and which shards have changed since the last table.
type recordShards struct {
	records  [shardCount][]*record
	stale    [shardCount]bool
	staleAll bool // something that concerns all upstreams has changed
}

// markStale records that a record is new or has changed.
func (rs *recordShards) markStale(rec *record) {
	shard := shardOfKey(rec.up.Key)
	if !rec.indexed {
		rs.records[shard] = append(rs.records[shard], rec)
	}
	rec.indexed, rec.snapshot = true, nil
	rs.stale[shard] = true
}

// remove removes a record and marks its shard as stale.
func (rs *recordShards) remove(rec *record) {
	shard := shardOfKey(rec.up.Key)
	rs.records[shard] = slices.DeleteFunc(rs.records[shard], func(x *record) bool { return x == rec })
	rs.stale[shard] = true
}

// nextShards returns the shards for the next table; it shares unchanged ones with the last table.
func (rs *recordShards) nextShards(last *shards, d *stoatpaddle.Declaration) *shards {
	if !rs.staleAll && rs.stale == [shardCount]bool{} {
		return last
	}
	out, changed := &shards{}, changedKeys{}
	*out = *last
	for i := range out.upstreams {
		if rs.staleAll || rs.stale[i] {
			out.upstreams[i] = rs.buildShard(i, d)
			changed.add(last.upstreams[i], out.upstreams[i])
		}
	}
	rs.stale, rs.staleAll = [shardCount]bool{}, false
	copied := map[int]bool{}
	for id, keys := range changed {
		i := shardOfService(id)
		if !copied[i] {
			copied[i], out.services[i] = true, cloneServices(out.services[i])
		}
		list := out.services[i][id].withChanges(keys, func(k stoatpaddle.UpstreamKey) *Upstream {
			if u := out.upstream(k); u != nil && u.Service == id && u.AcceptsFlows() {
				return u
			}
			return nil
		})
		if len(list.all) > 0 {
			out.services[i][id] = list
		} else {
			delete(out.services[i], id)
		}
	}
	return out
}

// buildShard builds a shard from its records; upstreams that have not changed are shared with the last table.
func (rs *recordShards) buildShard(i int, d *stoatpaddle.Declaration) *upstreamShard {
	list := rs.records[i]
	s := &upstreamShard{byKey: make(map[stoatpaddle.UpstreamKey]*Upstream, len(list)), all: make([]*Upstream, 0, len(list))}
	for _, rec := range list {
		if rec.snapshot == nil || rs.staleAll {
			u := rec.edit()
			u.MaxFlows, u.ColdRate = d.MaxFlows[u.Service], d.ColdRates[u.Service]
			rec.snapshot = u
		}
		u := rec.snapshot
		s.all = append(s.all, u)
		s.maxChangeSeq = max(s.maxChangeSeq, u.ChangeSeq)
		if other := s.byKey[u.Key]; other == nil || registeredFirst(u, other) {
			s.byKey[u.Key] = u
		}
	}
	return s
}

// changedKeys holds the keys whose upstreams may have changed, by the former and the current services of these
// upstreams.
type changedKeys map[stoatpaddle.ServiceID][]stoatpaddle.UpstreamKey

// add adds the keys whose upstreams differ between two versions of a shard.
func (c changedKeys) add(before, after *upstreamShard) {
	var old map[stoatpaddle.UpstreamKey]*Upstream
	if before != nil {
		old = before.byKey
	}
	for k, u := range after.byKey {
		if old[k] != u {
			c[u.Service] = append(c[u.Service], k)
		}
	}
	for k, u := range old {
		if after.byKey[k] != u {
			c[u.Service] = append(c[u.Service], k)
		}
	}
}

func cloneServices(s serviceShard) serviceShard {
	out := make(serviceShard, len(s)+1)
	for id, list := range s {
		out[id] = list
	}
	return out
}
