package stoatrelay

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Whatever bytes come from a parent's connection, reading them must end, and a message that is accepted must be
// encodable again, so that the next entry can decode it.
func FuzzMessage(f *testing.F) {
	at := time.Unix(1000, 0)
	b := stoatroute.NewBuilder(stoatroute.Config{RequireEvacuations: true})
	b.BeginEra(at, 3)
	b.ApplyDeclaration(*declared(2, 5).declaration, 5)
	b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: "here", Revision: 7})
	b.MarkInvalid(at, "i-9", 9, 8)
	head, err := Encode(&Head{PositionRevision: 7, PositionEra: 2, BodyEra: 3, Path: []string{"10.0.0.1:1"}, HasBody: true})
	if err != nil {
		f.Fatal(err)
	}
	withLoads, err := Encode(&Head{CentreLoad: msgpack.RawMessage{0x92, 1, 2}, OtherLoads: msgpack.RawMessage{0x90}})
	if err != nil {
		f.Fatal(err)
	}
	body, err := Encode(EncodeBody(at, b.Table(), ChildState{}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(head, body...))
	f.Add(head)
	f.Add(withLoads)
	f.Add([]byte{0x9a})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, w, err := Read(msgpack.NewDecoder(bytes.NewReader(data)))
		if err != nil {
			return
		}
		m, err := Decode(h, w)
		if err != nil {
			return
		}
		if data, err := Encode(h); err != nil || msgpack.Unmarshal(data, &Head{}) != nil {
			t.Fatal("an accepted head cannot be encoded again:", err)
		}
		child := stoatroute.NewBuilder(stoatroute.Config{RequireEvacuations: true})
		child.BeginEra(at, m.Era)
		if m.Delta != nil {
			child.ApplyDeclaration(m.Delta.Declaration, m.Delta.Revision)
		}
		child.Mirror(at, stoatroute.RemoteUpdate{Upstreams: m.Upstreams, Complete: m.Full, UpToDate: true})
		next := EncodeBody(at, child.Table(), ChildState{})
		if next == nil {
			return
		}
		encoded, err := Encode(next)
		if err != nil {
			t.Fatal(err)
		}
		var again Body
		if err := msgpack.Unmarshal(encoded, &again); err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(&Head{}, &again); err != nil {
			t.Fatal("accepted data cannot be relayed:", err)
		}
	})
}
