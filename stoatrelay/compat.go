package stoatrelay

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatwire"
)

// Entries are replaced one after the other, so that some run another release for minutes. The msgpack
// library rejects an array that is longer or shorter than the fields of the struct. A child leaves a parent
// whose messages it can't decode, and an entry that finds no other parent reads the platform itself. The
// types are therefore decoded field by field: missing fields stay empty, and unknown ones are skipped. Their lists
// are decoded element by element, since the library allocates as many elements as a message claims to have.

// decodeFields decodes an array into the fields. Fields beyond the array stay unchanged, and elements
// beyond the fields are skipped.
func decodeFields(dec *msgpack.Decoder, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(fields) {
			err = dec.Decode(fields[i])
		} else {
			err = dec.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *Head) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &h.PositionRevision, &h.AgeMS, strict(&h.Path), strict(&h.Siblings), &h.Centre, &stoatwire.List[stoatoutlier.WireReport]{Out: &h.Reports}, &h.FullReports, &h.HasBody, &h.Rank, &h.DataCentreEntries, &h.PositionEra, &h.BodyEra, &h.CentreLoad, &h.OtherLoads, strict(&h.Leads))
}

// EncodeMsgpack implements msgpack.CustomEncoder. A Head without loads or leads has the fields of the releases that send
// none, so that it has no more bytes. The loads stay encoded, so that a fault in them does not make the Head unreadable.
func (h *Head) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{h.PositionRevision, h.AgeMS, h.Path, h.Siblings, h.Centre, h.Reports, h.FullReports, h.HasBody, h.Rank, h.DataCentreEntries, h.PositionEra, h.BodyEra}
	if len(h.CentreLoad)+len(h.OtherLoads)+len(h.Leads) > 0 {
		fields = append(fields, encodedField(h.CentreLoad), encodedField(h.OtherLoads))
	}
	if len(h.Leads) > 0 {
		fields = append(fields, h.Leads)
	}
	if err := enc.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return enc.EncodeMulti(fields...)
}

// encodedField returns the field as the encoder takes it; an empty one is encoded as nil.
func encodedField(m msgpack.RawMessage) any {
	if len(m) == 0 {
		return nil
	}
	return m
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *Body) DecodeMsgpack(dec *msgpack.Decoder) error {
	upstreams, evacuations := stoatwire.List[wireHeld]{Out: &w.Upstreams}, stoatwire.List[wireEvacuation]{Out: &w.Evacuations}
	err := decodeFields(dec, &w.Full, strict(&w.Names), &w.Declaration, &upstreams, &evacuations)
	w.skipped = upstreams.Skipped + evacuations.Skipped
	return err
}

func strict[T any](out *[]T) *stoatwire.StrictList[T] { return &stoatwire.StrictList[T]{Out: out} }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireConfig) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &w.Revision, &w.Version, &w.Base, strict(&w.Routes), strict(&w.Removed), strict(&w.Limits), &w.IdleMS)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Refusal) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Reason, strict(&r.Alternatives))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *wireRoute) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Listen, strict(&r.Backends), strict(&r.FormerServices), &r.Idempotent, &r.TargetLatencyMS, &r.Priority, strict(&r.Regions))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *wireCap) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &c.Service, &c.MaxFlows, &c.ColdRate)
}
