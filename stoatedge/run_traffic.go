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

func (e *Edge) serve() {
	e.group.Go(e.traffic)
	e.group.Go(e.tick)
	e.group.Go(e.share)
	e.group.Go(e.sendReports)
}

// mover is what one goroutine needs to carry decisions out; nothing in it is shared.
type mover struct {
	buf     []byte // TargetSize bytes of room, then the packet
	reset   []byte
	drained time.Time // when the socket was last known to be empty; zero: the packet did not wait there
}

func newMover() *mover {
	return &mover{
		buf:   make([]byte, platform.TargetSize+platform.HeaderSize+platform.MaxDataSize+1),
		reset: make([]byte, platform.HeaderSize),
	}
}

// traffic moves packets, one at a time: an entry has a part of one core, and a second
// goroutine would only wait for the engine.
func (e *Edge) traffic() error {
	m := newMover()
	var p stoatpacket.Packet
	for {
		n, err := e.in.read(m.buf[platform.TargetSize:])
		if err != nil {
			if e.ctx.Err() != nil {
				return nil
			}
			continue
		}
		now := clock()
		e.stop.packet(now)
		m.drained = e.in.drained
		reason := platform.DecodePacket(m.buf[platform.TargetSize:platform.TargetSize+n], &p)
		// Resets towards this entry itself would come back as packets.
		if reason == stoatpacket.DropNone && p.Tuple.Src.Addr() == e.own {
			reason = stoatpacket.DropOwnSource
		}
		if reason != stoatpacket.DropNone {
			e.counts.malformed[reason].Add(1)
			e.logDrop(now, &p, reason)
			continue
		}
		e.handle(now, m, n, &p)
	}
}

// handle decides about the packet in m and carries the decision out.
func (e *Edge) handle(now time.Time, m *mover, n int, p *stoatpacket.Packet) {
	e.engineMu.Lock()
	t := e.table.Load()
	if !m.drained.IsZero() {
		e.engine.NoteQueueEmpty(m.drained)
	}
	a := e.engine.Handle(now, t, p)
	if a.Verdict == stoatecho.Hold && !e.hold.Add(now, p, m.buf[platform.TargetSize:platform.TargetSize+n]) {
		a.Verdict = stoatecho.Drop
		e.counts.malformed[a.Reason].Add(1)
	}
	observed := e.engine.TakeReportChange()
	e.engineMu.Unlock()
	if observed {
		e.notice()
	}
	e.carryOut(now, t, a, p, m, n)
}

// release handles the packets that waited for the first table.
func (e *Edge) release(now time.Time) {
	e.engineMu.Lock()
	held := e.hold.Take()
	t := e.table.Load()
	e.engine.Retain(now, t)
	ended := e.engine.TakeOrphanedFlows(now, t)
	e.engineMu.Unlock()
	e.resetEnded(now, t, ended)
	e.replay(now, held)
}

// giveUp refuses what has waited for too long.
func (e *Edge) giveUp(now time.Time) {
	e.engineMu.Lock()
	held := e.hold.TakeExpired(now)
	e.engineMu.Unlock()
	e.replay(now, held)
}

func (e *Edge) replay(now time.Time, held []stoatecho.HeldPacket) {
	if len(held) == 0 {
		return
	}
	m := newMover()
	for i := range held {
		n := copy(m.buf[platform.TargetSize:], held[i].Data)
		e.handle(now, m, n, &held[i].Packet)
	}
}

// carryOut sends what was decided. A datagram that cannot be sent is lost like any other.
func (e *Edge) carryOut(now time.Time, t *stoatroute.Table, a stoatecho.Action, p *stoatpacket.Packet, m *mover, n int) {
	buf := m.buf[:platform.TargetSize+n]
	switch a.Verdict {
	case stoatecho.Forward:
		platform.PutTarget(buf, a.Upstream.Target)
		if p.Opens {
			platform.PutCookie(buf[platform.TargetSize:], a.Upstream.Key)
		}
		_, _ = e.conn.WriteToUDPAddrPort(buf, a.Upstream.Addr)
		if a.Opened {
			e.logFlow(now, EventFlowPlaced, t, a, p, append(loadFields(a),
				stoatevent.F("copies", strconv.Itoa(p.Retransmits)), stoatevent.F("moved", strconv.FormatBool(a.Moved)))...)
		}
	case stoatecho.Reset:
		e.sendReset(m, p)
		fields := []stoatevent.Field{stoatevent.F("reason", a.Reason.String()), stoatevent.F("opens", strconv.FormatBool(p.Opens))}
		if a.Reason == stoatpacket.DropOverload {
			fields = append(fields, append(loadFields(a), stoatevent.F("bound", a.AnswerBound.Round(time.Millisecond).String()))...)
		}
		if a.RejectedShare > 0 {
			fields = append(fields, stoatevent.F("turned", strconv.FormatFloat(a.RejectedShare, 'f', 2, 64)))
		}
		if a.Reason == stoatpacket.DropNoUpstream {
			fields = append(fields, excludedFields(&a.Excluded)...)
		}
		e.logFlow(now, EventFlowReset, t, a, p, fields...)
	case stoatecho.Drop:
		e.logDrop(now, p, a.Reason)
		if a.Reason == stoatpacket.DropUnverified {
			e.doubt(now)
		}
	}
	if a.AnswerTime > 0 {
		e.counts.answer.Update(a.AnswerTime.Seconds())
	}
	if a.Late {
		e.logFlow(now, EventLateAnswer, t, a, p, stoatevent.F("took", a.AnswerTime.Round(time.Millisecond).String()), stoatevent.F("busy", strconv.Itoa(a.InProgress)))
	}
	if a.Ejected != nil {
		// The packet itself may have gone to another upstream.
		of := stoatecho.Action{Upstream: a.Ejected, Retransmissions: a.Retransmissions}
		e.logFlow(now, EventUpstreamEjected, t, of, p, stoatevent.F("centre", string(a.Ejected.DataCentre)),
			stoatevent.F("silence", a.Silence.Round(time.Millisecond).String()), stoatevent.F("waiting", strconv.Itoa(a.PendingRequests)))
	}
}

// excludedFields say why upstreams might not get a flow.
func excludedFields(x *stoatecho.Excluded) []stoatevent.Field {
	var out []stoatevent.Field
	for v, n := range x {
		if n > 0 {
			out = append(out, stoatevent.F(stoatfilter.Verdict(v).String(), strconv.Itoa(n)))
		}
	}
	return out
}

// loadFields are the load on which a placement or refusal was decided.
func loadFields(a stoatecho.Action) []stoatevent.Field {
	return []stoatevent.Field{stoatevent.F("busy", strconv.Itoa(a.InProgress)), stoatevent.F("mean", a.ExpectedAnswer.Round(time.Millisecond).String())}
}

// sendReset tells the caller of the packet that its flow cannot go on.
func (e *Edge) sendReset(m *mover, p *stoatpacket.Packet) {
	platform.PutReset(m.reset, p)
	_, _ = e.conn.WriteToUDPAddrPort(m.reset, netip.AddrPortFrom(p.Tuple.Src.Addr(), e.callers))
}

// resetEnded resets the flows that wait for an answer of upstreams which have ended.
func (e *Edge) resetEnded(now time.Time, t *stoatroute.Table, list []stoatecho.OrphanedFlow) {
	if len(list) == 0 {
		return
	}
	m := newMover()
	for _, x := range list {
		p := stoatpacket.Packet{Tuple: x.Tuple, Ack: x.Ack}
		e.sendReset(m, &p)
		e.logFlow(now, EventFlowReset, t, stoatecho.Action{Upstream: x.Upstream}, &p,
			stoatevent.F("reason", stoatpacket.DropUpstreamGone.String()), stoatevent.F("opens", "false"), stoatevent.F("waited", "true"))
	}
}

// logFlow writes a line about one flow: its id, what decided, how old that was.
func (e *Edge) logFlow(now time.Time, entry *stoatevent.Definition, t *stoatroute.Table, a stoatecho.Action, p *stoatpacket.Packet, more ...stoatevent.Field) {
	if !e.log.admit(now, entry) {
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
	e.log.write(entry, fields...)
}

func (e *Edge) logDrop(now time.Time, p *stoatpacket.Packet, reason stoatpacket.DropReason) {
	if !e.log.admit(now, EventPacketDropped) {
		return
	}
	e.log.write(EventPacketDropped, stoatevent.F("reason", reason.String()),
		stoatevent.F("flow", p.Tuple.Src.String()+">"+p.Tuple.Dst.String()), stoatevent.F("cookie", strconv.FormatUint(uint64(p.Cookie), 16)))
}

// doubtEvery bounds how often unknown cookies make an entry ask: a flood of forged ones
// must not use up the platform's rates.
const doubtEvery = 500 * time.Millisecond

func (e *Edge) doubt(now time.Time) {
	if now.Sub(e.counts.doubted) < doubtEvery {
		return
	}
	e.counts.doubted = now
	e.post(doubted{})
}

// tick drives what happens without packets: the keeper's ticks, the planned stop, and the
// account of log lines that were left out.
func (e *Edge) tick() error {
	t := time.NewTicker(tickEvery)
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
		e.giveUp(now)
		if e.log.account(now) {
			tuneCollector(e.settings().MemoryBytes())
		}
		if quiet, done := e.stop.done(now); done {
			e.log.emit(now, EventStopped, stoatevent.F("quiet", quiet.String()))
			e.cancel()
			return nil
		}
	}
}
