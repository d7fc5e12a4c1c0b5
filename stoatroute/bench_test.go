package stoatroute_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// fullBuilder returns a builder with n upstreams, and a route and a service for every eleven of them.
func fullBuilder(n int) *stoatroute.Builder {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	d := stoatpaddle.Declaration{Version: 1}
	for i := range max(1, n/11) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		service := stoatpaddle.ServiceID(fmt.Sprintf("s-%d", i))
		d.Routes = append(d.Routes, stoatpaddle.Route{Listen: addr, Backends: []stoatpaddle.Backend{{Service: service, Weight: 1}}})
	}
	b.ApplyDeclaration(d, 1)
	for i := range n {
		b.Register(start, upstream(i, n), stoatpaddle.Version(i+2))
	}
	return b
}

func upstream(i, n int) stoatpaddle.Registration {
	return stoatpaddle.Registration{
		ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%08x", i+1)), Target: stoatpaddle.TargetID(i + 1),
		Service: stoatpaddle.ServiceID(fmt.Sprintf("s-%d", i%max(1, n/11))), DataCentre: "a", Slots: 3, CreateRevision: stoatpaddle.Version(i + 2),
	}
}

// BenchmarkChange measures the change of one registration and the next table. With 43,000 upstreams this took
// 46 ms and 14 MB when the whole table was built again, and 0.04 ms and 18 kB with shards.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{18, 150, 1500, 43000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			builder := fullBuilder(n)
			builder.Table()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				u := upstream(0, n)
				u.Leaving = i%2 == 0
				builder.Register(start, u, stoatpaddle.Version(n+i+2))
				builder.Table()
			}
		})
	}
}

// BenchmarkExpire measures Expire, which runs every tenth of a second, while one of 43,000 upstreams is gone.
// It took 1.0 ms when Expire examined all upstreams, and takes 0.0002 ms now.
func BenchmarkExpire(b *testing.B) {
	builder := fullBuilder(43000)
	builder.MarkGone(start, "i-00000001", 50000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		builder.Expire(start)
	}
}

// BenchmarkMarkCurrent measures the next table after a call confirmed that nothing has changed.
func BenchmarkMarkCurrent(b *testing.B) {
	builder := fullBuilder(43000)
	builder.Table()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		builder.MarkCurrent(start.Add(time.Duration(i)))
		builder.Table()
	}
}
