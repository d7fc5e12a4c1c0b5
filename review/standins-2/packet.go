package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// The flags of a packet.
const (
	flagFIN = 1
	flagSYN = 16
	flagRST = 32
	flagACK = 64
)

const headSize = 31

// packet is a packet between a consumer and a server.
type packet struct {
	flags        byte
	echo         uint32
	dst, src     uint32
	dport, sport uint16
	seq, ack     uint32
	sum          uint32
	data         []byte
}

const sumKey = "only the two ends know this"

// keyedSum is the sum over all fields but echo; it is never 0.
func (p *packet) keyedSum() uint32 {
	q := *p
	q.echo, q.sum = 0, 0
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(q.bytes())
	return h.Sum32() | 1
}

func (p *packet) seal() *packet {
	p.sum = p.keyedSum()
	return p
}

func (p *packet) bytes() []byte {
	le := binary.LittleEndian
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	le.PutUint32(b[1:], p.echo)
	le.PutUint16(b[5:], p.dport)
	le.PutUint16(b[7:], p.sport)
	le.PutUint32(b[9:], p.dst)
	le.PutUint32(b[13:], p.src)
	le.PutUint16(b[17:], uint16(len(p.data)))
	le.PutUint32(b[19:], p.seq)
	le.PutUint32(b[23:], p.ack)
	le.PutUint32(b[27:], p.sum)
	return append(b, p.data...)
}

func parsePacket(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	p := packet{
		flags: b[0], echo: le.Uint32(b[1:]), dport: le.Uint16(b[5:]), sport: le.Uint16(b[7:]), dst: le.Uint32(b[9:]), src: le.Uint32(b[13:]),
		seq: le.Uint32(b[19:]), ack: le.Uint32(b[23:]), sum: le.Uint32(b[27:]), data: append([]byte(nil), b[headSize:]...),
	}
	return p, int(le.Uint16(b[17:])) == len(p.data)
}

func (p *packet) String() string {
	names := ""
	for _, f := range []struct {
		bit  byte
		name string
	}{{flagSYN, "SYN "}, {flagACK, "ACK "}, {flagFIN, "FIN "}, {flagRST, "RST "}} {
		if p.flags&f.bit != 0 {
			names += f.name
		}
	}
	return fmt.Sprintf("%s:%d > %s:%d %sseq %d ack %d echo %08x %d bytes", addrText(p.src), p.sport, addrText(p.dst), p.dport, names, p.seq, p.ack, p.echo, len(p.data))
}

func addrText(a uint32) string {
	return fmt.Sprintf("%d.%d.%d.%d", byte(a>>24), byte(a>>16), byte(a>>8), byte(a))
}

func addrOf(text string) uint32 {
	var a, b, c, d uint32
	if _, err := fmt.Sscanf(text, "%d.%d.%d.%d", &a, &b, &c, &d); err != nil {
		panic(err)
	}
	return a<<24 | b<<16 | c<<8 | d
}
