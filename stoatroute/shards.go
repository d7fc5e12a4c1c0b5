package stoatroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
)

// Upstreams and services stand in shards, which snapshots share: one registration that changes makes one
// shard and one service's list anew instead of 43,000 upstreams and 4,000 lists, 14 MB of them.

// shardCount makes a shard of 43,000 upstreams as large as a whole deployment of today, and copying the
// list of shards cost as little as that.
const shardCount = 256

// upstreamShard is a part of the upstreams, by cookie. It never changes after the table that has it was made.
type upstreamShard struct {
	byKey map[stoatpaddle.UpstreamKey]*Upstream
	held  []*Upstream // all, also those that have no cookie of their own
	// change is the latest of theirs: whoever knows it knows all of the shard.
	change uint64
}

// serviceShard is a part of the services, by name.
type serviceShard map[stoatpaddle.ServiceID]openings

func shardOfKey(k stoatpaddle.UpstreamKey) int { return int(k % shardCount) }

func shardOfService(id stoatpaddle.ServiceID) int {
	return int(xxhash.Sum64String(string(id)) % shardCount)
}

// shards are what tables share.
type shards struct {
	upstreams [shardCount]*upstreamShard
	services  [shardCount]serviceShard
}

// upstream returns the upstream that a cookie names, or nil.
func (s *shards) upstream(k stoatpaddle.UpstreamKey) *Upstream {
	if part := s.upstreams[shardOfKey(k)]; part != nil {
		return part.byKey[k]
	}
	return nil
}

// each calls do with each upstream that has its cookie.
func (s *shards) each(do func(u *Upstream)) {
	for _, part := range s.upstreams {
		if part == nil {
			continue
		}
		for _, u := range part.byKey {
			do(u)
		}
	}
}

// EachChangedKey calls do with each cookie that may name another upstream, or the same one otherwise, than in the
// table before; nil: with all.
func (t *Table) EachChangedKey(before *Table, do func(k stoatpaddle.UpstreamKey)) {
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
				do(k)
			}
		}
		if part != nil {
			for k := range part.byKey {
				do(k)
			}
		}
	}
}

// members are the book's entries by shard, and which shards changed since the last table.
type members struct {
	inShard  [shardCount][]*entry
	stale    [shardCount]bool
	staleAll bool // what all of them say changed
}

// note takes in that an entry is new, or not what it was.
func (m *members) note(e *entry) {
	shard := shardOfKey(e.up.Key)
	if !e.noted {
		m.inShard[shard] = append(m.inShard[shard], e)
	}
	e.noted, e.snapshot = true, nil
	m.stale[shard] = true
}

// forget takes an entry out.
func (m *members) forget(e *entry) {
	shard := shardOfKey(e.up.Key)
	m.inShard[shard] = slices.DeleteFunc(m.inShard[shard], func(x *entry) bool { return x == e })
	m.stale[shard] = true
}

// next returns the shards that follow those of the last table.
func (m *members) next(last *shards, d *stoatpaddle.Declaration) *shards {
	if !m.staleAll && m.stale == [shardCount]bool{} {
		return last
	}
	out, changed := &shards{}, changedKeys{}
	*out = *last
	for i := range out.upstreams {
		if m.staleAll || m.stale[i] {
			out.upstreams[i] = m.shard(i, d)
			changed.add(last.upstreams[i], out.upstreams[i])
		}
	}
	m.stale, m.staleAll = [shardCount]bool{}, false
	copied := map[int]bool{}
	for id, keys := range changed {
		i := shardOfService(id)
		if !copied[i] {
			copied[i], out.services[i] = true, cloneServices(out.services[i])
		}
		list := out.services[i][id].patched(keys, func(k stoatpaddle.UpstreamKey) *Upstream {
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

// shard makes one anew; what did not change in it is shared with the one before.
func (m *members) shard(i int, d *stoatpaddle.Declaration) *upstreamShard {
	list := m.inShard[i]
	s := &upstreamShard{byKey: make(map[stoatpaddle.UpstreamKey]*Upstream, len(list)), held: make([]*Upstream, 0, len(list))}
	for _, e := range list {
		if e.snapshot == nil || m.staleAll {
			u := e.edit()
			u.MaxFlows, u.ColdRate = d.Caps[u.Service], d.ColdRates[u.Service]
			e.snapshot = u
		}
		u := e.snapshot
		s.held = append(s.held, u)
		s.change = max(s.change, u.ChangeSeq)
		if other := s.byKey[u.Key]; other == nil || older(u, other) {
			s.byKey[u.Key] = u
		}
	}
	return s
}

// changedKeys are the cookies that may name another upstream than before, by the services that these had or have.
type changedKeys map[stoatpaddle.ServiceID][]stoatpaddle.UpstreamKey

// add compares two versions of a shard.
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
