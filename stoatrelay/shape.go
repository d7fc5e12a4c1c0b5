package stoatrelay

import "github.com/vmihailenco/msgpack/v5"

// Entries are replaced in turn, so that some are of another release for minutes. The library refuses an
// array that is longer or shorter than the fields it knows; a parent whose messages cannot be read is
// left, and whoever finds no other one reads the platform by itself. So what has grown is read field by
// field: what is missing stays empty, and what is not known is passed over.

// decodeFields reads an array into the fields, as far as both go.
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
	return decodeFields(dec, &r.Listen, &r.Backends, &r.Earlier, &r.Repeat, &r.AimMS, &r.Priority, &r.Regions)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *wireCap) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &c.Service, &c.Flows, &c.Cold)
}
