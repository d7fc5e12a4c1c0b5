package stoatrelay

import "github.com/vmihailenco/msgpack/v5"

// Entries are replaced one after the other, so that some run another release for minutes. The msgpack
// library rejects an array that is longer or shorter than the fields of the struct. A child leaves a parent
// whose messages it can't decode, and an entry that finds no other parent reads the platform itself. The
// types that have gained fields are therefore decoded field by field: missing fields stay empty, and
// unknown ones are skipped.

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
	return decodeFields(dec, &h.PositionRevision, &h.AgeMS, &h.Path, &h.Siblings, &h.Centre, &h.Reports, &h.FullReports, &h.HasBody, &h.Rank, &h.DataCentreEntries, &h.PositionEra, &h.BodyEra)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *Body) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &w.Full, &w.Names, &w.Declaration, &w.Upstreams, &w.Evacuations)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *wireRoute) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Listen, &r.Backends, &r.FormerServices, &r.Idempotent, &r.ObjectiveMS, &r.Priority, &r.Regions)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *wireCap) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &c.Service, &c.MaxFlows, &c.ColdRate)
}
