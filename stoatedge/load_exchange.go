package stoatedge

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// loadExchange is this entry's state in the exchange of loads. The methods that the relay calls do nothing if the
// exchange is off, that is, on nil.
type loadExchange struct {
	engine       loadEngine
	dataCentre   stoatpaddle.DataCentreID
	aggregator   *stoatload.Aggregator
	received     chan struct{}                  // signals that the parent sent a load
	reportRound  chan struct{}                  // signals sendLoadReports
	peerRound    chan struct{}                  // signals exchangeLoads
	children     *notifier                      // wakes the connections of the children in this data centre
	remoteParent atomic.Pointer[netip.AddrPort] // parent in another data centre; nil: none
	unsupported  atomic.Pointer[netip.AddrPort] // parent whose release does not take loads; nil: not known
	mu           sync.Mutex                     // guards peers
	peers        map[netip.AddrPort]*loadPeer
}

// loadPeer is the state of the exchange with a topmost entry, or with a parent in another data centre.
type loadPeer struct {
	remote stoatload.CentrePacer
	local  stoatload.Pacer
	root   bool      // it is a further topmost entry of this data centre
	retry  time.Time // its release does not take loads; it is not asked before
}

func newLoadExchange(set stoatsetting.Settings, engine loadEngine) *loadExchange {
	if engine == nil {
		return nil
	}
	return &loadExchange{
		engine: engine, dataCentre: set.DataCentre,
		aggregator: stoatload.NewAggregator(stoatload.AggregatorConfig{Self: set.AdminAddr, DataCentre: set.DataCentre}),
		received:   make(chan struct{}, 1), reportRound: make(chan struct{}, 1), peerRound: make(chan struct{}, 1),
		children: newNotifier(), peers: map[netip.AddrPort]*loadPeer{},
	}
}

// signal wakes the goroutine that waits on the channel; it never blocks.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleHead takes the loads from a parent's message. A load that cannot be decoded counts as none, since the rest of
// the message does not depend on it.
func (x *loadExchange) handleHead(now time.Time, parent netip.AddrPort, h *stoatrelay.Head) {
	if x == nil {
		return
	}
	if stoatpaddle.DataCentreID(h.Centre) != x.dataCentre {
		x.remoteParent.Store(&parent)
		x.aggregator.HandleParent(now, netip.AddrPort{}, nil)
		if len(h.CentreLoad) > 0 {
			x.aggregator.HandleRequest(now)
		}
		return
	}
	x.remoteParent.Store(nil)
	if len(h.CentreLoad) == 0 {
		x.aggregator.HandleParent(now, parent, nil)
		return
	}
	sum, err := stoatload.DecodeCentre(now, h.CentreLoad)
	if err != nil {
		x.aggregator.HandleParent(now, parent, nil)
		return
	}
	x.aggregator.HandleParent(now, parent, &sum)
	if centres, err := stoatload.DecodeCentres(now, h.OtherLoads); len(h.OtherLoads) > 0 && err == nil {
		x.aggregator.HandleCentres(now, centres)
	}
	signal(x.received)
}

// parentLost records that there is no parent. The next one may have another release.
func (x *loadExchange) parentLost(now time.Time) {
	if x == nil {
		return
	}
	x.remoteParent.Store(nil)
	x.unsupported.Store(nil)
	x.aggregator.HandleParent(now, netip.AddrPort{}, nil)
	signal(x.received)
}

func (x *loadExchange) removeChild(from netip.AddrPort) {
	if x != nil {
		x.aggregator.RemoveChild(from)
	}
}

// waitForChange returns a channel that is closed when a child has to be sent loads. Children of other data centres are
// sent none.
func (x *loadExchange) waitForChange(centre stoatpaddle.DataCentreID) <-chan struct{} {
	if x == nil || centre != x.dataCentre {
		return nil
	}
	return x.children.wait()
}

// addTo adds the loads to the head of a message to a child. A child in another data centre only learns that the load
// of its data centre is needed, and gets the loads in the response to its post.
func (x *loadExchange) addTo(now time.Time, h *stoatrelay.Head, centre stoatpaddle.DataCentreID) {
	if x == nil || x.aggregator.Pace(now) == stoatload.Silent {
		return
	}
	if centre != x.dataCentre {
		h.CentreLoad = encodedOrNone(stoatload.EncodeCentre(now, stoatload.CentreLoad{DataCentre: x.dataCentre, At: now}))
		return
	}
	sum, ok := x.aggregator.SumForChildren(now)
	if !ok {
		return
	}
	h.CentreLoad = encodedOrNone(stoatload.EncodeCentre(now, sum))
	if centres := x.aggregator.Centres(now); len(centres) > 0 {
		h.OtherLoads = encodedOrNone(stoatload.EncodeCentres(now, centres))
	}
}

// encodedOrNone leaves out a load that cannot be encoded, since a message is of use without it.
func encodedOrNone(data []byte, err error) []byte {
	if err != nil {
		return nil
	}
	return data
}
