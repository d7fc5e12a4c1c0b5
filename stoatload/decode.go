package stoatload

import (
	"bytes"
	"math"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatwire"
)

// decode decodes one message; bytes after it are ignored.
func decode(data []byte, w msgpack.CustomDecoder) error { return decodeWith(data, w.DecodeMsgpack) }

func decodeWith(data []byte, read func(*msgpack.Decoder) error) error {
	if len(data) > MaxMessageBytes {
		return &BoundError{What: "length of the message", Got: int64(len(data)), Limit: MaxMessageBytes}
	}
	return read(msgpack.NewDecoder(bytes.NewReader(data)))
}

// field decodes one element of an array.
type field func(dec *msgpack.Decoder) error

// decodeFields decodes an array. Fields beyond the array stay empty, and elements beyond the fields are skipped.
func decodeFields(dec *msgpack.Decoder, fields ...field) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		read := (*msgpack.Decoder).Skip
		if i < len(fields) {
			read = fields[i]
		}
		if err := read(dec); err != nil {
			return err
		}
	}
	return nil
}

// decodeList decodes an array of at most limit elements. It leaves out those that cannot be decoded or are out of bounds,
// so that one entry's load does not hide the others.
func decodeList[T any, P interface {
	*T
	msgpack.CustomDecoder
}](dec *msgpack.Decoder, what string, limit int, out *[]T) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > limit {
		return &BoundError{What: what, Got: int64(n), Limit: int64(limit)}
	}
	_, err = stoatwire.DecodeElements(dec, n, func(dec *msgpack.Decoder) error {
		var x T
		if err := P(&x).DecodeMsgpack(dec); err != nil {
			return err
		}
		*out = append(*out, x)
		return nil
	})
	return err
}

// levelsField decodes the levels of a group. The sums of a group that lacks one of its levels would be wrong, so a level
// that cannot be decoded is an error.
func levelsField(out *[]wireLevel) field {
	return func(dec *msgpack.Decoder) error {
		n, err := dec.DecodeArrayLen()
		if err != nil {
			return err
		}
		if n > MaxLevels {
			return &BoundError{What: "number of levels", Got: int64(n), Limit: MaxLevels}
		}
		for range n {
			var l wireLevel
			if err := l.DecodeMsgpack(dec); err != nil {
				return err
			}
			*out = append(*out, l)
		}
		return nil
	}
}

func listField[T any, P interface {
	*T
	msgpack.CustomDecoder
}](what string, limit int, out *[]T) field {
	return func(dec *msgpack.Decoder) error { return decodeList[T, P](dec, what, limit, out) }
}

// intField decodes an integer from low to high.
func intField(what string, low, high int64, out *int64) field {
	return func(dec *msgpack.Decoder) (err error) {
		if *out, err = dec.DecodeInt64(); err != nil {
			return err
		}
		if *out < low || *out > high {
			return &BoundError{What: what, Got: *out, Limit: high}
		}
		return nil
	}
}

func figureField(what string, out *int64) field {
	return intField(what, 0, maxFigure*figureScale, out)
}

func durationField(what string, out *int64) field {
	return intField(what, 0, maxAnswer.Microseconds(), out)
}

// nameField decodes a name of at most maxNameBytes.
func nameField(what string, out *string) field {
	return func(dec *msgpack.Decoder) (err error) {
		if *out, err = dec.DecodeString(); err == nil && len(*out) > maxNameBytes {
			err = &BoundError{What: "length of " + what, Got: int64(len(*out)), Limit: maxNameBytes}
		}
		return err
	}
}

// addrField decodes an address and port in binary, or nothing.
func addrField(out *[]byte) field {
	return func(dec *msgpack.Decoder) (err error) {
		if *out, err = dec.DecodeBytes(); err != nil || len(*out) == 0 {
			return err
		}
		if len(*out) > maxAddrBytes {
			return &BoundError{What: "length of an address", Got: int64(len(*out)), Limit: maxAddrBytes}
		}
		var a netip.AddrPort
		return a.UnmarshalBinary(*out)
	}
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireSubtree) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, listField("number of groups", MaxGroups, &w.Groups), listField("number of parts", MaxParts, &w.Parts))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireExchange) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, nameField("a data centre", &w.Centre), listField("number of parts", MaxParts, &w.Parts))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wirePart) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, addrField(&w.Origin), w.Load.DecodeMsgpack)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireCentre) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, nameField("a data centre", &w.Name), intField("age", 0, maxAge.Milliseconds(), &w.AgeMS), listField("number of groups", MaxGroups, &w.Groups))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireGroup) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, nameField("a service", &w.Service), intField("entries", 0, maxEntries, &w.Entries), figureField("answered", &w.Answered),
		figureField("rejected", &w.Rejected), figureField("in progress", &w.InProgress), durationField("answer time", &w.AnswerUS),
		durationField("answer time without a queue", &w.UnqueuedUS), levelsField(&w.Levels),
		figureField("first requests answered", &w.FirstAnswered), figureField("first requests rejected", &w.FirstRejected), figureField("spilled", &w.Spilled))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *wireLevel) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, intField("priority", math.MinInt32, math.MaxInt32, &w.Priority), figureField("arrived", &w.Arrived), figureField("admitted", &w.Admitted))
}
