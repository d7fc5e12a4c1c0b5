package stoatentry

import (
	"net"
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"

	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoattunnel"
)

// maxPacket is the longest datagram.
const maxPacket = 65536

func (e *Entry) serve() {
	for range e.cfg.Workers {
		e.group.Go(func() error {
			e.fromFabric()
			return nil
		})
		e.group.Go(func() error {
			e.fromEntries()
			return nil
		})
	}
	e.group.Go(e.advance)
	e.group.Go(func() error {
		// The sockets close with the context, so that their readers return.
		<-e.ctx.Done()
		e.Kill()
		return nil
	})
}

// worker is what one traffic goroutine needs; nothing in it is shared.
type worker struct {
	parser *stoattunnel.Parser
	packet stoatpacket.Packet
	buf    []byte // HeaderSize bytes of room, then the packet
}

func newWorker() *worker {
	return &worker{parser: stoattunnel.NewParser(), buf: make([]byte, stoatflow.HeaderSize+maxPacket)}
}

// fromFabric reads encapsulated packets.
func (e *Entry) fromFabric() {
	w := newWorker()
	for {
		n, _, err := e.tunnel.ReadFromUDPAddrPort(w.buf[stoatflow.HeaderSize:])
		if err != nil {
			if e.ctx.Err() != nil {
				return
			}
			continue
		}
		e.handle(w, n, stoatflow.Header{}, netip.AddrPort{})
	}
}

// fromEntries reads packets that other entries relayed.
func (e *Entry) fromEntries() {
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
			e.drop(stoatpacket.DropUnauthenticated)
			continue
		}
		if h.Kind == stoatflow.KindNotice {
			e.learn(w.buf[:n])
			continue
		}
		e.handle(w, n-stoatflow.HeaderSize, h, from)
	}
}

// learn takes in the answer to a question about a flow.
func (e *Entry) learn(data []byte) {
	v := e.view.Load()
	if v == nil {
		return
	}
	r, ok := stoatflow.DecodeNotice(data, v.Seed)
	if !ok {
		e.drop(stoatpacket.DropUnauthenticated)
		return
	}
	e.engine.ReceiveNotice(clock(), v, r)
}

func (e *Entry) drop(r stoatpacket.DropReason) { e.drops[r].Add(1) }

// handle decides about the packet in w and carries the decision out.
func (e *Entry) handle(w *worker, n int, h stoatflow.Header, from netip.AddrPort) {
	v := e.view.Load()
	if v == nil {
		e.drop(stoatpacket.DropUnknownService)
		return
	}
	data := w.buf[stoatflow.HeaderSize : stoatflow.HeaderSize+n]
	if reason := w.parser.Parse(data, &w.packet); reason != stoatpacket.DropNone {
		e.drop(reason)
		return
	}
	svc := v.FlowService(w.packet.Tuple.Dst, w.packet.Tuple.Protocol)
	if svc == nil {
		e.drop(stoatpacket.DropUnknownService)
		return
	}
	k := v.Seed.Hash(w.packet.Tuple)
	// Only entries may say what a packet is: a stranger's header could make this entry
	// decide for flows that others own.
	if h.Kind != stoatflow.KindFabric && !stoatflow.VerifyTag(w.buf, v.Seed, k) {
		e.drop(stoatpacket.DropUnauthenticated)
		return
	}
	in := stoatflow.Inbound{Packet: &w.packet, Key: k, Service: svc, Header: h, From: from}
	a := e.engine.Handle(clock(), v, &in)
	switch a.Verdict {
	case stoatflow.Forward:
		e.forwarded.Add(1)
		e.send(e.tunnel, data, a.Upstream.Addr)
		if a.NotifyAddr.IsValid() {
			n := stoatflow.EncodeNotice(w.buf, v.Seed, k, a.Upstream.Key)
			e.send(e.relay, w.buf[:n], a.NotifyAddr)
		}
	case stoatflow.Relay:
		a.Header.Encode(w.buf, v.Seed, k)
		e.send(e.relay, w.buf[:stoatflow.HeaderSize+n], a.To)
	case stoatflow.Reset:
		e.drop(a.Reason)
		e.reset(w, data, a)
	case stoatflow.Drop:
		e.drop(a.Reason)
	}
}

// reset refuses the flow to the caller, and ends it at the upstream if it was open there.
func (e *Entry) reset(w *worker, packet []byte, a stoatflow.Action) {
	if w.packet.ICMP || w.packet.Reset {
		return
	}
	if w.packet.Tuple.Protocol == stoatpaddle.ProtocolUDP {
		if data, err := stoattunnel.PortUnreachable(&w.packet, packet); err == nil {
			e.send(e.tunnel, data, e.set.EgressAddr)
		}
		return
	}
	if data, err := stoattunnel.ResetToCaller(&w.packet); err == nil {
		e.send(e.tunnel, data, e.set.EgressAddr)
	}
	if a.Upstream == nil {
		return
	}
	if data, err := stoattunnel.ResetToUpstream(&w.packet); err == nil {
		e.send(e.tunnel, data, a.Upstream.Addr)
	}
}

// send writes a datagram; the network may drop it, as it may any packet.
func (e *Entry) send(conn *net.UDPConn, data []byte, to netip.AddrPort) {
	_, _ = conn.WriteToUDPAddrPort(data, to)
}
