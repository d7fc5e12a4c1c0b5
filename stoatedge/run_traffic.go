package stoatedge

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

func (e *Edge) startWorkers() {
	e.group.Go(e.handleTraffic)
	e.group.Go(e.tick)
	e.group.Go(e.shareObservations)
	e.group.Go(e.sendReports)
	e.startLoadWorkers()
}

// packetBuffers holds what one goroutine needs to handle packets; nothing in it is shared.
type packetBuffers struct {
	buf     []byte // TargetSize bytes of room, then the packet
	reset   []byte
	drained time.Time // when the socket was last known to be empty; zero: the packet did not wait there
}

func newPacketBuffers() *packetBuffers {
	return &packetBuffers{
		buf:   make([]byte, platform.TargetSize+platform.HeaderSize+platform.MaxDataSize+1),
		reset: make([]byte, platform.HeaderSize),
	}
}

// handleTraffic handles packets, one at a time: an entry has a share of one core, and a second goroutine would
// only wait for the engine's lock.
func (e *Edge) handleTraffic() error {
	bufs := newPacketBuffers()
	var p stoatpacket.Packet
	for {
		n, err := e.reader.read(bufs.buf[platform.TargetSize:])
		if err != nil {
			if e.ctx.Err() != nil {
				return nil
			}
			continue
		}
		now := clock()
		e.stop.notePacket(now)
		bufs.drained = e.reader.drained
		reason := platform.DecodePacket(bufs.buf[platform.TargetSize:platform.TargetSize+n], &p)
		// Resets towards this entry itself would come back as packets.
		if reason == stoatpacket.DropNone && p.Tuple.Src.Addr() == e.ownAddr {
			reason = stoatpacket.DropOwnSource
		}
		// Placed now, the flow could be open twice, and the caller's packets would carry either cookie.
		if reason == stoatpacket.DropNone && p.Opens && e.reader.stale {
			reason = stoatpacket.DropStale
		}
		if reason != stoatpacket.DropNone {
			e.counts.dropped[reason].Add(1)
			e.logDrop(now, &p, reason)
			continue
		}
		e.handle(now, bufs, n, &p)
	}
}

// handle decides about p, whose n bytes are in bufs, and applies the decision.
func (e *Edge) handle(now time.Time, bufs *packetBuffers, n int, p *stoatpacket.Packet) {
	e.engineMu.Lock()
	t := e.table.Load()
	if !bufs.drained.IsZero() {
		e.engine.NoteQueueEmpty(bufs.drained)
	}
	a := e.engine.Handle(now, t, p)
	request := e.hold(now, now, p, bufs.buf[platform.TargetSize:platform.TargetSize+n], &a)
	observed := e.engine.TakeReportChange()
	e.engineMu.Unlock()
	if observed {
		e.notifyObserved()
	}
	e.requestVerification(request)
	e.apply(now, t, a, p, bufs, n)
}

// hold holds the packet, which came at since, if the action says so, and changes the action if the packet cannot be
// held. It returns the verification to request. The caller locks engineMu.
func (e *Edge) hold(now, since time.Time, p *stoatpacket.Packet, data []byte, a *stoatecho.Action) verificationRequested {
	switch {
	case a.Verdict != stoatecho.Hold:
		return verificationRequested{}
	case a.Verify == 0:
		if !e.held.Add(since, p, data) {
			a.Verdict = stoatecho.Drop
			e.counts.dropped[a.Reason].Add(1)
		}
		return verificationRequested{}
	case !e.verifier.Add(now, since, p, data, *a):
		*a = e.engine.GiveUp(p, *a)
		return verificationRequested{}
	}
	return e.dueVerification(now)
}

// dueVerification returns the verification to request now. The caller locks engineMu.
func (e *Edge) dueVerification(now time.Time) verificationRequested {
	return verificationRequested{parts: e.verifier.TakeRequests(now), waiting: e.verifier.Len()}
}

// requestVerification asks the controller for a verification, unless it is about nothing.
func (e *Edge) requestVerification(x verificationRequested) {
	if x.parts == 0 {
		return
	}
	e.counts.verifications.Add(1)
	e.post(x)
}

// applyTable adapts the engine to a new table: it handles the packets that were held until the first table or
// until the state was verified, and resets flows whose upstreams have ended.
func (e *Edge) applyTable(now time.Time) {
	e.engineMu.Lock()
	t := e.table.Load()
	held := append(e.held.Take(), e.verifier.TakeVerified(t)...)
	e.engine.Retain(now, t)
	ended, lastEnd := e.engine.TakeOrphanedFlows(now, t)
	e.verifier.SetLastEnd(lastEnd)
	request := e.dueVerification(now)
	e.engineMu.Unlock()
	e.requestVerification(request)
	e.resetEnded(now, t, ended)
	e.replay(now, held)
}

// handleOverdue handles packets that have been held for too long, and requests the verifications that are due.
func (e *Edge) handleOverdue(now time.Time) {
	e.engineMu.Lock()
	held, unverified := e.held.TakeExpired(now), e.verifier.TakeExpired(now)
	request := e.dueVerification(now)
	e.engineMu.Unlock()
	e.requestVerification(request)
	e.replay(now, held)
	e.giveUp(now, unverified)
}

// replay handles packets that were held.
func (e *Edge) replay(now time.Time, held []stoatecho.HeldPacket) {
	e.forEachHeld(held, func(bufs *packetBuffers, n int, h *stoatecho.HeldPacket) {
		e.engineMu.Lock()
		t := e.table.Load()
		a := e.engine.HandleHeld(now, t, h)
		// The end of a flow's upstream may have to be verified once its route is.
		request := e.hold(now, h.Since, &h.Packet, h.Data, &a)
		e.engineMu.Unlock()
		e.requestVerification(request)
		e.apply(now, t, a, &h.Packet, bufs, n)
	})
}

// giveUp handles packets whose verification took too long.
func (e *Edge) giveUp(now time.Time, held []stoatecho.HeldPacket) {
	e.forEachHeld(held, func(bufs *packetBuffers, n int, h *stoatecho.HeldPacket) {
		e.engineMu.Lock()
		t := e.table.Load()
		a := e.engine.GiveUp(&h.Packet, h.Action)
		e.engineMu.Unlock()
		e.apply(now, t, a, &h.Packet, bufs, n)
	})
}

func (e *Edge) forEachHeld(held []stoatecho.HeldPacket, do func(bufs *packetBuffers, n int, h *stoatecho.HeldPacket)) {
	if len(held) == 0 {
		return
	}
	bufs := newPacketBuffers()
	for i := range held {
		do(bufs, copy(bufs.buf[platform.TargetSize:], held[i].Data), &held[i])
	}
}

// apply carries out a decision. A datagram that cannot be sent is lost like any other.
func (e *Edge) apply(now time.Time, t *stoatroute.Table, a stoatecho.Action, p *stoatpacket.Packet, bufs *packetBuffers, n int) {
	buf := bufs.buf[:platform.TargetSize+n]
	switch a.Verdict {
	case stoatecho.Forward:
		platform.PutTarget(buf, a.Upstream.Target)
		if p.Opens {
			platform.PutCookie(buf[platform.TargetSize:], a.Upstream.Key)
		}
		_, _ = e.conn.WriteToUDPAddrPort(buf, a.Upstream.Addr)
		if a.Opened {
			e.logFlow(now, EventFlowPlaced, t, a, p, append(loadFields(a),
				stoatevent.F("copies", strconv.Itoa(p.Retransmits)), stoatevent.F("moved", strconv.FormatBool(a.Moved)), stoatevent.F("spilled", strconv.FormatBool(a.Spilled)))...)
		}
	case stoatecho.Reset:
		e.sendReset(bufs, p)
		fields := []stoatevent.Field{stoatevent.F("reason", a.Reason.String()), stoatevent.F("opens", strconv.FormatBool(p.Opens))}
		if a.Reason == stoatpacket.DropOverload {
			fields = append(fields, append(loadFields(a), stoatevent.F("bound", a.AnswerBound.Round(time.Millisecond).String()))...)
		}
		if a.Reason == stoatpacket.DropLevel || a.Reason == stoatpacket.DropFairness || a.Reason == stoatpacket.DropAway {
			fields = append(fields, levelFields(&a)...)
		}
		if a.Reason == stoatpacket.DropNoUpstream {
			fields = append(fields, excludedFields(&a.Excluded)...)
		}
		e.logFlow(now, EventFlowReset, t, a, p, fields...)
	case stoatecho.Drop:
		e.logDrop(now, p, a.Reason)
	}
	if a.AnswerTime > 0 {
		e.counts.answerTime.Update(a.AnswerTime.Seconds())
	}
	if a.Late {
		e.logFlow(now, EventLateAnswer, t, a, p, stoatevent.F("took", a.AnswerTime.Round(time.Millisecond).String()), stoatevent.F("busy", strconv.Itoa(a.InProgress)))
	}
	if a.Ejected != nil {
		// The packet itself may have gone to another upstream.
		ejection := stoatecho.Action{Upstream: a.Ejected, Retransmissions: a.Retransmissions}
		e.logFlow(now, EventUpstreamEjected, t, ejection, p, stoatevent.F("centre", string(a.Ejected.DataCentre)),
			stoatevent.F("silence", a.Silence.Round(time.Millisecond).String()), stoatevent.F("waiting", strconv.Itoa(a.PendingRequests)))
	}
}

// excludedFields returns log fields that say why upstreams were excluded.
func excludedFields(x *stoatecho.Excluded) []stoatevent.Field {
	var out []stoatevent.Field
	for v, n := range x {
		if n > 0 {
			out = append(out, stoatevent.F(stoatfilter.Verdict(v).String(), strconv.Itoa(n)))
		}
	}
	return out
}

// levelFields returns log fields with the decision by priority levels about an opening.
func levelFields(a *stoatecho.Action) []stoatevent.Field {
	d := &a.Admission
	return []stoatevent.Field{
		stoatevent.F("priority", strconv.Itoa(a.Priority)), stoatevent.F("share", shareText(d.Share)), stoatevent.F("turned", shareText(d.RejectedShare)),
		stoatevent.F("shared", strconv.FormatBool(d.Shared)),
	}
}

// shareText returns a share as log fields give it.
func shareText(share float64) string { return strconv.FormatFloat(share, 'f', 2, 64) }

// loadFields returns log fields with the load that decided a placement or refusal.
func loadFields(a stoatecho.Action) []stoatevent.Field {
	return []stoatevent.Field{stoatevent.F("busy", strconv.Itoa(a.InProgress)), stoatevent.F("mean", a.ExpectedAnswer.Round(time.Millisecond).String())}
}

// sendReset tells the caller of the packet that its flow cannot continue.
func (e *Edge) sendReset(bufs *packetBuffers, p *stoatpacket.Packet) {
	platform.PutReset(bufs.reset, p)
	_, _ = e.conn.WriteToUDPAddrPort(bufs.reset, netip.AddrPortFrom(p.Tuple.Src.Addr(), e.callerPort))
}

// resetEnded resets flows that wait for answers from upstreams that have ended.
func (e *Edge) resetEnded(now time.Time, t *stoatroute.Table, list []stoatecho.OrphanedFlow) {
	if len(list) == 0 {
		return
	}
	bufs := newPacketBuffers()
	for _, x := range list {
		p := stoatpacket.Packet{Tuple: x.Tuple, Ack: x.Ack}
		e.sendReset(bufs, &p)
		e.logFlow(now, EventFlowReset, t, stoatecho.Action{Upstream: x.Upstream}, &p,
			stoatevent.F("reason", stoatpacket.DropUpstreamGone.String()), stoatevent.F("opens", "false"), stoatevent.F("waited", "true"))
	}
}

// logFlow logs an event of one flow, with the flow, the upstream, and the version and age of the state that
// the decision was based on.
func (e *Edge) logFlow(now time.Time, definition *stoatevent.Definition, t *stoatroute.Table, a stoatecho.Action, p *stoatpacket.Packet, more ...stoatevent.Field) {
	if !e.log.admit(now, definition) {
		return
	}
	fields := append(more, stoatevent.F("flow", p.Tuple.Src.String()+">"+p.Tuple.Dst.String()))
	if a.Upstream != nil {
		fields = append(fields, stoatevent.F("upstream", string(a.Upstream.ID)), stoatevent.F("standing", a.Upstream.State.String()))
	}
	if a.Retransmissions > 0 {
		fields = append(fields, stoatevent.F("repeats", strconv.Itoa(a.Retransmissions)))
	}
	fields = append(fields, stoatevent.F("version", t.Declaration.Version.String()), stoatevent.F("proven", ageText(e.ViewAge(now))))
	e.log.write(definition, fields...)
}

func (e *Edge) logDrop(now time.Time, p *stoatpacket.Packet, reason stoatpacket.DropReason) {
	if !e.log.admit(now, EventPacketDropped) {
		return
	}
	e.log.write(EventPacketDropped, stoatevent.F("reason", reason.String()),
		stoatevent.F("flow", p.Tuple.Src.String()+">"+p.Tuple.Dst.String()), stoatevent.F("cookie", strconv.FormatUint(uint64(p.Cookie), 16)))
}

// tick drives what happens without packets: the controller's ticks, the refusal of packets held for too long,
// the log of priority levels and of omitted lines, the tuning of the garbage collector, and the planned stop.
func (e *Edge) tick() error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case <-t.C:
		}
		now := clock()
		if gap := e.pause.tick(uptime()); gap > 0 {
			e.post(resumed{gap: gap})
			e.log.emit(now, EventProcessPaused, stoatevent.F("gap", gap.String()))
		}
		e.post(ticked{})
		e.handleOverdue(now)
		e.logLevelChanges(now)
		if e.log.reportOmitted(now) {
			tuneGC(e.settings().MemoryBytes())
		}
		if quiet, done := e.stop.complete(now); done {
			e.log.emit(now, EventStopped, stoatevent.F("quiet", quiet.String()))
			e.cancel()
			return nil
		}
	}
}
