package stoatrelay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

func largeBuilder(routes, upstreams int) (*stoatroute.Builder, stoatpaddle.Declaration) {
	d := stoatpaddle.Declaration{Version: 1, MaxFlows: map[stoatpaddle.ServiceID]int{"app": 2000}}
	for i := range routes {
		addr := netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
		d.Routes = append(d.Routes, stoatpaddle.Route{
			Listen: netip.AddrPortFrom(addr, 443), TargetLatency: 200 * ms, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}},
		})
	}
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(d, 1)
	for i := range upstreams {
		c := registered(stoatpaddle.UpstreamID(fmt.Sprintf("i-%010x", i+1)), stoatpaddle.TargetID(i+1), stoatpaddle.Version(i+2))
		c.registration.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		b.Register(time.Unix(1000, 0), *c.registration, c.revision)
	}
	return b, d
}

// BenchmarkHead encodes and decodes a message without changes, which each child gets whenever its parent's
// knowledge is confirmed.
func BenchmarkHead(b *testing.B) {
	h := &Head{
		PositionRevision: 1234567, AgeMS: 40, Path: []string{"10.1.0.10:8166", "10.1.0.77:8166", "10.1.0.78:8166"},
		Siblings: []string{"10.1.0.80:8166", "10.1.0.81:8166", "10.1.0.82:8166"}, Centre: "ruwi",
	}
	b.ReportAllocs()
	for range b.N {
		data, err := Encode(h)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
		var out Head
		if err := msgpack.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(&out, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// transfer encodes a body and decodes it as a child does.
func transfer(b *testing.B, w *Body) Message {
	data, err := Encode(w)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	var out Body
	if err := msgpack.Unmarshal(data, &out); err != nil {
		b.Fatal(err)
	}
	m, err := Decode(&Head{}, &out)
	if err != nil {
		b.Fatal(err)
	}
	return m
}

// BenchmarkFullState encodes the full state for a new child, which decodes and applies it.
func BenchmarkFullState(b *testing.B) {
	for _, n := range []int{18, 150, 3000, 43000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			builder, _ := largeBuilder(14, n)
			t := builder.Table()
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for range b.N {
				m := transfer(b, EncodeBody(now, t, ChildState{}))
				stoatroute.NewBuilder(stoatroute.Config{}).Mirror(now, stoatroute.RemoteUpdate{Upstreams: m.Upstreams, Complete: true, UpToDate: true})
			}
		})
	}
}

// BenchmarkOneRouteChanges measures the change of one of many routes, which is sent to a child and applied there.
func BenchmarkOneRouteChanges(b *testing.B) {
	for _, n := range []int{14, 489, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			builder, d := largeBuilder(n, 0)
			_, childDeclaration := largeBuilder(n, 0)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for i := range b.N {
				child := ChildStateOf(builder.Table())
				d.Version++
				d.Routes[0].Priority = i
				builder.ApplyDeclaration(d, d.Version)
				m := transfer(b, EncodeBody(now, builder.Table(), child))
				if !m.Delta.AppliesTo(childDeclaration.Version) {
					b.Fatal("delta does not apply")
				}
				childDeclaration = m.Delta.ApplyTo(&childDeclaration)
			}
		})
	}
}
