package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// A packet as PROTOCOL describes it. The sum of the stand-ins is one of their own, as the key is not disclosed.

const (
	flagFIN  = 1
	flagSYN  = 16
	flagRST  = 32
	flagACK  = 64
	headSize = 31
)

type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}

func getAddr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

// encode appends the packet to b.
func (p *packet) encode(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, headSize)...)
	h, le := b[start:], binary.LittleEndian
	h[0] = p.flags
	le.PutUint32(h[1:], p.echo)
	le.PutUint16(h[5:], p.dst.Port())
	le.PutUint16(h[7:], p.src.Port())
	putAddr(h[9:], p.dst.Addr())
	putAddr(h[13:], p.src.Addr())
	le.PutUint16(h[17:], uint16(len(p.data)))
	le.PutUint32(h[19:], p.seq)
	le.PutUint32(h[23:], p.ack)
	b = append(b, p.data...)
	le.PutUint32(b[start+27:], sumOf(b[start:]))
	return b
}

func sumOf(b []byte) uint32 {
	sum := crc32.ChecksumIEEE(b[:1])
	sum = crc32.Update(sum, crc32.IEEETable, b[5:27])
	sum = crc32.Update(sum, crc32.IEEETable, b[headSize:])
	return sum | 1
}

// decode returns false for a packet that its sender did not write so; own reports a reset of the system's own.
func decode(b []byte, p *packet) (valid, own bool) {
	if len(b) < headSize {
		return false, false
	}
	le := binary.LittleEndian
	*p = packet{
		flags: b[0], echo: le.Uint32(b[1:]), src: netip.AddrPortFrom(getAddr(b[13:]), le.Uint16(b[7:])), dst: netip.AddrPortFrom(getAddr(b[9:]), le.Uint16(b[5:])),
		seq: le.Uint32(b[19:]), ack: le.Uint32(b[23:]), sum: le.Uint32(b[27:]), data: b[headSize:],
	}
	if int(le.Uint16(b[17:])) != len(p.data) {
		return false, false
	}
	if p.sum == 0 && p.flags&flagRST != 0 && len(p.data) == 0 {
		return true, true
	}
	return p.sum == sumOf(b), false
}
