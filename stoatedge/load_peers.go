package stoatedge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// keepPeers forgets the state of the exchange with all other entries.
func (x *loadExchange) keepPeers(peers []netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for addr := range x.peers {
		if !slices.Contains(peers, addr) {
			delete(x.peers, addr)
		}
	}
	for _, addr := range peers {
		if x.peers[addr] == nil {
			x.peers[addr] = &loadPeer{}
		}
	}
}

// nextExchange returns what has to be posted to a peer; false: nothing is due.
func (x *loadExchange) nextExchange(now time.Time, to netip.AddrPort) (stoatload.Exchange, bool) {
	pace := x.aggregator.Pace(now)
	if pace == stoatload.Silent {
		return stoatload.Exchange{}, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[to]
	if p == nil || now.Before(p.retry) {
		return stoatload.Exchange{}, false
	}
	m := x.aggregator.Exchange(now, to, false)
	if p.root {
		return m, p.local.Next(now, pace)
	}
	return m, p.remote.Next(now, pace, m.Parts)
}

// answer returns the response to an exchange. It counts as sent to the peer, so that only one of the two entries
// posts.
func (x *loadExchange) answer(now time.Time, to netip.AddrPort, below bool) stoatload.Exchange {
	m := x.aggregator.Exchange(now, to, below)
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[to]; p != nil {
		p.local.Record(now)
		p.remote.Record(now, m.Parts)
	}
	return m
}

// handleAnswer takes what a peer responded.
func (x *loadExchange) handleAnswer(now time.Time, from netip.AddrPort, answer stoatload.Exchange) {
	x.aggregator.HandleExchange(now, answer, false)
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[from]; p != nil {
		p.root = answer.DataCentre == x.dataCentre && slices.ContainsFunc(answer.Parts, func(part stoatload.Part) bool { return part.Origin == from })
	}
}

// postpone makes the next post to a peer wait until then.
func (x *loadExchange) postpone(to netip.AddrPort, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[to]; p != nil {
		p.retry = until
	}
}
