package stoatpeer

import (
	"encoding/binary"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// encoder writes the fields of a message. It keeps the first error, so that each message is encoded as a
// plain sequence of its fields.
type encoder struct {
	out *msgpack.Encoder
	err error
}

func (e *encoder) keep(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) list(n int)     { e.keep(e.out.EncodeArrayLen(n)) }
func (e *encoder) text(s string)  { e.keep(e.out.EncodeString(s)) }
func (e *encoder) uint(n uint64)  { e.keep(e.out.EncodeUint(n)) }
func (e *encoder) bool(b bool)    { e.keep(e.out.EncodeBool(b)) }
func (e *encoder) bytes(b []byte) { e.keep(e.out.EncodeBytes(b)) }
func (e *encoder) ref(r stoatpaddle.ObjectRef) {
	e.text(string(r.Kind))
	e.text(r.Name)
}

func (e *encoder) hello(m *stoatmessage.Hello) {
	e.text(string(m.Cluster))
	e.instance(m.Instance)
}

func (e *encoder) members(m *stoatmessage.Members) {
	e.list(len(m.Instances))
	for _, i := range m.Instances {
		e.instance(i)
	}
}

func (e *encoder) instance(i stoatpaddle.Instance) {
	e.text(string(i.ID))
	e.text(string(i.Role))
	e.text(string(i.DataCentre))
	e.text(string(i.State))
	e.uint(uint64(i.Incarnation))
	e.text(i.Relay.String())
	e.text(i.Peer.String())
	e.text(i.Admin.String())
}

func (e *encoder) heartbeat(m *stoatmessage.Heartbeat) {
	e.uint(uint64(m.Digest.Newest))
	e.uint(uint64(m.Digest.Checksum))
	e.uint(uint64(stateCode(m.State)))
}

// states lists the instance states in the order of their numbers on the wire.
var states = []stoatpaddle.InstanceState{stoatpaddle.StateJoining, stoatpaddle.StateLive, stoatpaddle.StateLeaving}

func stateCode(s stoatpaddle.InstanceState) int { return max(0, slices.Index(states, s)) }

func (d *decoder) state() stoatpaddle.InstanceState {
	n := d.uint()
	if d.err == nil && n >= uint64(len(states)) {
		d.err = &RangeError{Got: int(n), Max: len(states) - 1}
	}
	if d.err != nil {
		return ""
	}
	return states[n]
}

func (e *encoder) have(m *stoatmessage.Have) {
	e.list(len(m.Objects))
	for _, h := range m.Objects {
		e.ref(h.Ref)
		e.uint(uint64(h.Version))
	}
}

func (e *encoder) want(m *stoatmessage.Want) {
	e.list(len(m.Refs))
	for _, r := range m.Refs {
		e.ref(r)
	}
}

func (e *encoder) objects(m *stoatmessage.Objects) {
	e.list(len(m.Objects))
	for _, o := range m.Objects {
		e.ref(o.Ref)
		e.uint(uint64(o.Version))
		e.text(string(o.Token))
		e.bool(o.Deleted)
		e.bytes(o.Value)
	}
}

func (e *encoder) flows(b *stoatflow.Batch) {
	e.bytes(packRecords(b.Moves))
	e.bytes(packRecords(b.Copies))
	drops := make([]byte, 0, len(b.Drops)*stoatflow.DropSize)
	for _, k := range b.Drops {
		drops = appendFlow(drops, k)
	}
	e.bytes(drops)
	e.list(len(b.Loads))
	for _, l := range b.Loads {
		e.uint(uint64(l.Set))
		var open []byte
		for _, n := range l.Open {
			open = binary.AppendUvarint(open, uint64(n))
		}
		e.bytes(open)
	}
}

const flowHashSize = stoatpaddle.FlowHashBits / 8

// appendFlow appends a flow's hash in big-endian order, without the leading bytes that it does not use.
func appendFlow(b []byte, k stoatpaddle.FlowHash) []byte {
	var full [8]byte
	binary.BigEndian.PutUint64(full[:], uint64(k))
	return append(b, full[8-flowHashSize:]...)
}

func decodeFlow(data []byte) stoatpaddle.FlowHash {
	var full [8]byte
	copy(full[8-flowHashSize:], data[:flowHashSize])
	return stoatpaddle.FlowHash(binary.BigEndian.Uint64(full[:]))
}

func packRecords(list []stoatflow.Record) []byte {
	out := make([]byte, 0, len(list)*stoatflow.RecordSize)
	for _, r := range list {
		out = appendFlow(out, r.Key)
		out = binary.BigEndian.AppendUint32(out, uint32(r.Upstream))
	}
	return out
}
