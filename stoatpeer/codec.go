package stoatpeer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// Kind is the type of a message, the second byte after a frame's length.
type Kind byte

const (
	kindHello Kind = iota + 1
	kindHeartbeat
	kindHave
	kindWant
	kindObjects
	kindFlows
	kindMembers
)

const (
	frameVersion = 1
	lengthSize   = 4 // bytes
	// MaxFrame limits the bytes of a frame, so that a wrong length cannot exhaust the entry's memory. It
	// leaves room for several objects of the platform's maximum size, one megabyte.
	MaxFrame = 4 << 20
	// maxList limits the number of elements of a list; it is checked before any element is read.
	maxList = 1 << 20
)

// FrameError reports a frame that violates the protocol; the connection is closed.
type FrameError struct {
	Part  string
	Cause error
}

func (e *FrameError) Error() string { return fmt.Sprintf("frame: %s: %v", e.Part, e.Cause) }

func (e *FrameError) Unwrap() error { return e.Cause }

// RangeError reports a number in a frame that is out of range.
type RangeError struct{ Got, Max int }

func (e *RangeError) Error() string {
	return fmt.Sprintf("%d is out of range (at most %d)", e.Got, e.Max)
}

// UnknownMessageError reports a message kind that the codec does not support.
type UnknownMessageError struct{ Kind Kind }

func (e *UnknownMessageError) Error() string { return fmt.Sprintf("unknown kind %d", e.Kind) }

// Encode returns the frame of a message, or *FrameError.
func Encode(m stoatmessage.Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthSize))
	buf.WriteByte(frameVersion)
	e := &encoder{out: msgpack.NewEncoder(&buf)}
	e.out.UseCompactInts(true)
	switch m := m.(type) {
	case *stoatmessage.Hello:
		buf.WriteByte(byte(kindHello))
		e.hello(m)
	case *stoatmessage.Heartbeat:
		buf.WriteByte(byte(kindHeartbeat))
		e.heartbeat(m)
	case *stoatmessage.Have:
		buf.WriteByte(byte(kindHave))
		e.have(m)
	case *stoatmessage.Want:
		buf.WriteByte(byte(kindWant))
		e.want(m)
	case *stoatmessage.Objects:
		buf.WriteByte(byte(kindObjects))
		e.objects(m)
	case *stoatmessage.Flows:
		buf.WriteByte(byte(kindFlows))
		e.flows(&m.Batch)
	case *stoatmessage.Members:
		buf.WriteByte(byte(kindMembers))
		e.members(m)
	default:
		return nil, &FrameError{Part: "kind", Cause: &UnknownMessageError{}}
	}
	if e.err != nil {
		return nil, &FrameError{Part: "body", Cause: e.err}
	}
	if buf.Len()-lengthSize > MaxFrame {
		return nil, &FrameError{Part: "length", Cause: &RangeError{Got: buf.Len() - lengthSize, Max: MaxFrame}}
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))
	return frame, nil
}

// Read reads one frame, or returns *FrameError.
func Read(r io.Reader) (stoatmessage.Message, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, &FrameError{Part: "length", Cause: err}
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n < 2 || n > MaxFrame {
		return nil, &FrameError{Part: "length", Cause: &RangeError{Got: n, Max: MaxFrame}}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, &FrameError{Part: "body", Cause: err}
	}
	return Decode(body)
}

// Decode decodes the part of a frame after its length, or returns *FrameError.
func Decode(body []byte) (stoatmessage.Message, error) {
	if len(body) < 2 || body[0] != frameVersion {
		return nil, &FrameError{Part: "version", Cause: &RangeError{Got: len(body), Max: frameVersion}}
	}
	d := &decoder{in: msgpack.NewDecoder(bytes.NewReader(body[2:]))}
	m := d.message(Kind(body[1]))
	if d.err != nil {
		return nil, &FrameError{Part: "body", Cause: d.err}
	}
	return m, nil
}

func (d *decoder) message(k Kind) stoatmessage.Message {
	switch k {
	case kindHello:
		return d.hello()
	case kindHeartbeat:
		return d.heartbeat()
	case kindHave:
		return d.have()
	case kindWant:
		return d.want()
	case kindObjects:
		return d.objects()
	case kindFlows:
		return d.flows()
	case kindMembers:
		return d.members()
	default:
		d.err = &UnknownMessageError{Kind: k}
		return nil
	}
}
