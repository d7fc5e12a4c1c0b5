package stoatpeer

import (
	"encoding/binary"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// decoder reads the fields of a message. It keeps the first error, and every later read returns a zero
// value.
type decoder struct {
	in      *msgpack.Decoder
	err     error
	badAddr error // the first address that is none, in a field that could be read
}

func readField[T any](d *decoder, read func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := read()
	if err != nil {
		d.err = err
		return zero
	}
	return v
}

func (d *decoder) text() string  { return readField(d, d.in.DecodeString) }
func (d *decoder) uint() uint64  { return readField(d, d.in.DecodeUint64) }
func (d *decoder) bool() bool    { return readField(d, d.in.DecodeBool) }
func (d *decoder) bytes() []byte { return readField(d, d.in.DecodeBytes) }

func (d *decoder) list() int {
	n := readField(d, d.in.DecodeArrayLen)
	if n < 0 || n > maxList {
		d.err = &RangeError{Got: n, Max: maxList}
		return 0
	}
	return n
}

func (d *decoder) addr() netip.AddrPort {
	text := d.text()
	if d.err != nil {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil && d.badAddr == nil {
		d.badAddr = err
	}
	return a
}

func (d *decoder) ref() stoatpaddle.ObjectRef {
	kind := stoatpaddle.ObjectKind(d.text())
	return stoatpaddle.ObjectRef{Kind: kind, Name: d.text()}
}

func (d *decoder) hello() *stoatmessage.Hello {
	m := &stoatmessage.Hello{Cluster: stoatpaddle.ClusterID(d.text())}
	m.Instance = d.instance()
	if d.err == nil {
		d.err = d.badAddr
	}
	return m
}

func (d *decoder) members() *stoatmessage.Members {
	m := &stoatmessage.Members{}
	for n := d.list(); n > 0 && d.err == nil; n-- {
		i := d.instance()
		if d.badAddr != nil {
			// The fields after the address are where they belong, so the other instances can be read.
			d.badAddr = nil
			continue
		}
		m.Instances = append(m.Instances, i)
	}
	return m
}

func (d *decoder) instance() stoatpaddle.Instance {
	i := stoatpaddle.Instance{ID: stoatpaddle.InstanceID(d.text())}
	i.Role = stoatpaddle.InstanceRole(d.text())
	i.DataCentre = stoatpaddle.DataCentreID(d.text())
	i.State = stoatpaddle.InstanceState(d.text())
	i.Incarnation = stoatpaddle.Incarnation(d.uint())
	i.Relay = d.addr()
	i.Peer = d.addr()
	i.Admin = d.addr()
	return i
}

func (d *decoder) heartbeat() *stoatmessage.Heartbeat {
	m := &stoatmessage.Heartbeat{}
	m.Digest.Newest = stoatpaddle.Version(d.uint())
	m.Digest.Checksum = uint32(d.uint())
	m.State = d.state()
	return m
}

func (d *decoder) have() *stoatmessage.Have {
	m := &stoatmessage.Have{}
	for n := d.list(); n > 0 && d.err == nil; n-- {
		ref := d.ref()
		m.Objects = append(m.Objects, stoatmessage.ObjectVersion{Ref: ref, Version: stoatpaddle.Version(d.uint())})
	}
	return m
}

func (d *decoder) want() *stoatmessage.Want {
	m := &stoatmessage.Want{}
	for n := d.list(); n > 0 && d.err == nil; n-- {
		m.Refs = append(m.Refs, d.ref())
	}
	return m
}

func (d *decoder) objects() *stoatmessage.Objects {
	m := &stoatmessage.Objects{}
	for n := d.list(); n > 0 && d.err == nil; n-- {
		o := stoatpaddle.Object{Ref: d.ref()}
		o.Version = stoatpaddle.Version(d.uint())
		o.Token = stoatpaddle.WriteToken(d.text())
		o.Deleted = d.bool()
		o.Value = d.bytes()
		m.Objects = append(m.Objects, o)
	}
	return m
}

func (d *decoder) flows() *stoatmessage.Flows {
	m := &stoatmessage.Flows{}
	m.Batch.Moves = d.records()
	m.Batch.Copies = d.records()
	for b := d.bytes(); len(b) >= stoatflow.DropSize; b = b[stoatflow.DropSize:] {
		m.Batch.Drops = append(m.Batch.Drops, decodeFlow(b))
	}
	for n := d.list(); n > 0 && d.err == nil; n-- {
		if l, ok := d.loadReport(); ok {
			m.Batch.Loads = append(m.Batch.Loads, l)
		}
	}
	return m
}

func (d *decoder) records() []stoatflow.Record {
	var out []stoatflow.Record
	for b := d.bytes(); len(b) >= stoatflow.RecordSize; b = b[stoatflow.RecordSize:] {
		out = append(out, stoatflow.Record{
			Key:      decodeFlow(b),
			Upstream: stoatpaddle.UpstreamKey(binary.BigEndian.Uint32(b[flowHashSize:])),
		})
	}
	return out
}

// loadReport decodes a report, and returns false if its counts are out of range.
func (d *decoder) loadReport() (stoatflow.LoadReport, bool) {
	l := stoatflow.LoadReport{Set: stoatflow.SetDigest(d.uint())}
	for b := d.bytes(); len(b) > 0; {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > 1<<31 {
			return l, false
		}
		l.Open = append(l.Open, uint32(n))
		b = b[size:]
	}
	return l, d.err == nil
}
