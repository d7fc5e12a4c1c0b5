package stoatwire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// DecodeList decodes a msgpack array with decode, which is called with a decoder for each element. Elements that decode
// rejects are left out, so that one of them does not hide the others; skipped is their number. An error means that the
// rest of the message cannot be read, since the end of an element is not known.
func DecodeList(dec *msgpack.Decoder, decode func(*msgpack.Decoder) error) (skipped int, err error) {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	return DecodeElements(dec, n, decode)
}

// DecodeElements decodes the n elements of an array whose length has been read, as DecodeList does.
func DecodeElements(dec *msgpack.Decoder, n int, decode func(*msgpack.Decoder) error) (skipped int, err error) {
	element, data := msgpack.GetDecoder(), bytes.NewReader(nil)
	defer msgpack.PutDecoder(element)
	for range n {
		raw, err := dec.DecodeRaw()
		if err != nil {
			return skipped, err
		}
		data.Reset(raw)
		element.Reset(data)
		if decode(element) != nil {
			skipped++
		}
	}
	return skipped, nil
}

// List decodes into Out, which it replaces, and leaves out what DecodeList leaves out.
type List[T any] struct {
	Out     *[]T
	Skipped int
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(dec *msgpack.Decoder) (err error) {
	*l.Out = nil
	l.Skipped, err = DecodeList(dec, func(dec *msgpack.Decoder) error {
		var zero T
		n := len(*l.Out)
		*l.Out = append(*l.Out, zero)
		err := dec.Decode(&(*l.Out)[n])
		if err != nil {
			*l.Out = (*l.Out)[:n]
		}
		return err
	})
	return err
}

// StrictList decodes into Out, which it replaces, and fails if an element cannot be decoded. The library allocates as
// many elements as the message claims to have; StrictList allocates what comes.
type StrictList[T any] struct{ Out *[]T }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *StrictList[T]) DecodeMsgpack(dec *msgpack.Decoder) error {
	*l.Out = nil
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		var zero T
		*l.Out = append(*l.Out, zero)
		if err := dec.Decode(&(*l.Out)[i]); err != nil {
			return err
		}
	}
	return nil
}
