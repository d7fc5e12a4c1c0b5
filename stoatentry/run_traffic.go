package stoatentry

import (
	"net"
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoattunnel"
)

// maxPacket is the size of the buffer for a packet in bytes. No UDP datagram is larger.
const maxPacket = 65536

// startWorkers starts the goroutines that read the UDP sockets, the timer, and one that closes the sockets when
// the entry's context ends.
func (e *Entry) startWorkers() {
	for range e.cfg.Workers {
		e.group.Go(func() error {
			e.readTunnel()
			return nil
		})
		e.group.Go(func() error {
			e.readRelay()
			return nil
		})
	}
	e.group.Go(e.runTimer)
	e.group.Go(func() error {
		// Closing the sockets makes their readers return.
		<-e.ctx.Done()
		e.Kill()
		return nil
	})
}

// worker holds the state of one goroutine that handles packets; goroutines share none of it.
type worker struct {
	parser *stoattunnel.Parser
	packet stoatpacket.Packet
	buf    []byte // HeaderSize bytes for the relay header, then the packet
}

func newWorker() *worker {
	return &worker{parser: stoattunnel.NewParser(), buf: make([]byte, stoatflow.HeaderSize+maxPacket)}
}

// readTunnel reads encapsulated packets from the tunnel socket until the entry ends.
func (e *Entry) readTunnel() {
	w := newWorker()
	for {
		n, _, err := e.tunnel.ReadFromUDPAddrPort(w.buf[stoatflow.HeaderSize:])
		if err != nil {
			if e.ctx.Err() != nil {
				return
			}
			continue
		}
		e.handlePacket(w, n, stoatflow.Header{}, netip.AddrPort{})
	}
}

// readRelay reads what other entries send to the relay socket, relayed packets and notices, until the entry
// ends.
func (e *Entry) readRelay() {
	w := newWorker()
	for {
		n, from, err := e.relay.ReadFromUDPAddrPort(w.buf)
		if err != nil {
			if e.ctx.Err() != nil {
				return
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		h, err := stoatflow.DecodeHeader(w.buf[:n])
		if err != nil {
			e.countDrop(stoatpacket.DropUnauthenticated)
			continue
		}
		if h.Kind == stoatflow.KindNotice {
			e.receiveNotice(w.buf[:n])
			continue
		}
		e.handlePacket(w, n-stoatflow.HeaderSize, h, from)
	}
}

// receiveNotice passes a notice, which says to which upstream a flow goes, to the flow engine.
func (e *Entry) receiveNotice(data []byte) {
	v := e.view.Load()
	if v == nil {
		return
	}
	r, ok := stoatflow.DecodeNotice(data, v.Seed)
	if !ok {
		e.countDrop(stoatpacket.DropUnauthenticated)
		return
	}
	e.engine.ReceiveNotice(clock(), v, r)
}

func (e *Entry) countDrop(r stoatpacket.DropReason) { e.drops[r].Add(1) }

// handlePacket has the flow engine decide what to do with the packet in w and carries out that decision.
// The packet has n bytes; h and from are the header and the sender of a relayed packet.
func (e *Entry) handlePacket(w *worker, n int, h stoatflow.Header, from netip.AddrPort) {
	v := e.view.Load()
	if v == nil {
		e.countDrop(stoatpacket.DropUnknownService)
		return
	}
	data := w.buf[stoatflow.HeaderSize : stoatflow.HeaderSize+n]
	if reason := w.parser.Parse(data, &w.packet); reason != stoatpacket.DropNone {
		e.countDrop(reason)
		return
	}
	svc := v.FlowService(w.packet.Tuple.Dst, w.packet.Tuple.Protocol)
	if svc == nil {
		e.countDrop(stoatpacket.DropUnknownService)
		return
	}
	k := v.Seed.Hash(w.packet.Tuple)
	// A relayed packet's header must carry a valid tag. A forged one could make this entry decide about flows
	// that other entries own.
	if h.Kind != stoatflow.KindFabric && !stoatflow.VerifyTag(w.buf, v.Seed, k) {
		e.countDrop(stoatpacket.DropUnauthenticated)
		return
	}
	in := stoatflow.Inbound{Packet: &w.packet, Key: k, Service: svc, Header: h, From: from}
	a := e.engine.Handle(clock(), v, &in)
	switch a.Verdict {
	case stoatflow.Forward:
		e.forwarded.Add(1)
		e.sendDatagram(e.tunnel, data, a.Upstream.Addr)
		if a.NotifyAddr.IsValid() {
			n := stoatflow.EncodeNotice(w.buf, v.Seed, k, a.Upstream.Key)
			e.sendDatagram(e.relay, w.buf[:n], a.NotifyAddr)
		}
	case stoatflow.Relay:
		a.Header.Encode(w.buf, v.Seed, k)
		e.sendDatagram(e.relay, w.buf[:stoatflow.HeaderSize+n], a.To)
	case stoatflow.Reset:
		e.countDrop(a.Reason)
		e.sendReset(w, data, a)
	case stoatflow.Drop:
		e.countDrop(a.Reason)
	}
}

// sendReset tells the caller that the flow is refused, with an ICMP port unreachable message for UDP and with
// a TCP reset otherwise. If a TCP flow was open at an upstream, the upstream gets a reset too. ICMP packets and
// resets are not answered.
func (e *Entry) sendReset(w *worker, packet []byte, a stoatflow.Action) {
	if w.packet.ICMP || w.packet.Reset {
		return
	}
	if w.packet.Tuple.Protocol == stoatpaddle.ProtocolUDP {
		if data, err := stoattunnel.PortUnreachable(&w.packet, packet); err == nil {
			e.sendDatagram(e.tunnel, data, e.settings.EgressAddr)
		}
		return
	}
	if data, err := stoattunnel.ResetToCaller(&w.packet); err == nil {
		e.sendDatagram(e.tunnel, data, e.settings.EgressAddr)
	}
	if a.Upstream == nil {
		return
	}
	if data, err := stoattunnel.ResetToUpstream(&w.packet); err == nil {
		e.sendDatagram(e.tunnel, data, a.Upstream.Addr)
	}
}

// sendDatagram sends a datagram. Errors are ignored, because the network may drop any packet as well.
func (e *Entry) sendDatagram(conn *net.UDPConn, data []byte, to netip.AddrPort) {
	_, _ = conn.WriteToUDPAddrPort(data, to)
}
