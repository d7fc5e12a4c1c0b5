package stoatnode

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// benchmarkTick measures a heartbeat from each peer, a tick, and the heartbeats that the tick sends, with n
// connected entries.
func benchmarkTick(b *testing.B, n int) {
	node := New(Config{Self: testInstance("a1", stoatpaddle.StateLive, 1), Cluster: "test", RandomSeed: 1, StopDeadline: time.Minute})
	now := epoch
	node.Step(now, Started{})
	node.Step(now, Listed{Listing: stoatpaddle.Listing{Revision: 1, Objects: []stoatpaddle.Object{
		{Ref: HashKeyRef, Version: 1, Value: []byte(`"000102030405060708090a0b0c0d0e0f"`)},
	}}})
	peers := make([]stoatpaddle.Instance, n-1)
	for i := range peers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1)
		peers[i] = stoatpaddle.Instance{
			ID: stoatpaddle.InstanceID(fmt.Sprintf("b%d", i)), Role: stoatpaddle.RoleEntry, DataCentre: "b",
			State: stoatpaddle.StateLive, Incarnation: 1, Relay: addr, Peer: addr, Admin: addr,
		}
		node.Step(now, Connected{Hello: stoatmessage.Hello{Cluster: "test", Instance: peers[i]}})
	}
	beat := &stoatmessage.Heartbeat{Digest: node.digest(), State: stoatpaddle.StateLive}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(TickInterval)
		for _, p := range peers {
			node.Step(now, Received{From: p.ID, Message: beat})
		}
		node.Step(now, Ticked{})
	}
}

func BenchmarkTick3(b *testing.B)   { benchmarkTick(b, 3) }
func BenchmarkTick9(b *testing.B)   { benchmarkTick(b, 9) }
func BenchmarkTick30(b *testing.B)  { benchmarkTick(b, 30) }
func BenchmarkTick100(b *testing.B) { benchmarkTick(b, 100) }
func BenchmarkTick300(b *testing.B) { benchmarkTick(b, 300) }

// benchmarkContract measures the adoption of an amended contract with 18 upstreams, one of n contracts.
func benchmarkContract(b *testing.B, n int) {
	node := New(Config{Self: testInstance("a1", stoatpaddle.StateLive, 1), Cluster: "test", RandomSeed: 1, StopDeadline: time.Minute})
	objects := []stoatpaddle.Object{{Ref: HashKeyRef, Version: 1, Value: []byte(`"000102030405060708090a0b0c0d0e0f"`)}}
	for i := range n {
		objects = append(objects, benchContract(i, stoatpaddle.Version(i+2)))
	}
	node.Step(epoch, Started{})
	node.Step(epoch, Listed{Listing: stoatpaddle.Listing{Revision: stoatpaddle.Version(n + 1), Objects: objects}})
	version := stoatpaddle.Version(n + 2)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		node.Step(epoch, ObjectWritten{Object: benchContract(i%n, version)})
		version++
	}
}

func benchContract(n int, version stoatpaddle.Version) stoatpaddle.Object {
	name := fmt.Sprintf("c%d", n)
	value := fmt.Sprintf(`{"customer":%q,"lean":"flows","limits":{"flows":%d,"opens":10,"calls":10,"rate":10},"services":[{"name":"s","kind":"flow","address":"10.0.%d.%d","proto":6,"ports":[443],"upstreams":[`, name, version, n>>8, n&255)
	for u := range 18 {
		if u > 0 {
			value += ","
		}
		value += fmt.Sprintf(`{"name":"%s-%d","centre":"a","address":"10.%d.%d.%d:6080","weight":100,"slots":3,"connections":2000}`, name, u, 1+u, n>>8, n&255)
	}
	return stoatpaddle.Object{Ref: stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectContract, Name: name}, Version: version, Value: []byte(value + "]}]}")}
}

func BenchmarkContract2(b *testing.B)   { benchmarkContract(b, 2) }
func BenchmarkContract20(b *testing.B)  { benchmarkContract(b, 20) }
func BenchmarkContract200(b *testing.B) { benchmarkContract(b, 200) }
