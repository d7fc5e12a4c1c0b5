package stoatroute

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Guards against services that stay reachable by old cookies for good: what a route lost is news once, goes on
// for as long as a flow lives, and is not taken in from the platform after that.
func TestFormerServicesEnd(t *testing.T) {
	listen := netip.MustParseAddrPort("198.18.0.1:443")
	declare := func(b *Builder, version stoatpaddle.Version, service stoatpaddle.ServiceID) {
		b.ApplyDeclaration(stoatpaddle.Declaration{Version: version, Routes: []stoatpaddle.Route{
			{Listen: listen, Backends: []stoatpaddle.Backend{{Service: service, Weight: 1}}},
		}}, version)
	}
	now := time.Unix(1000, 0)
	b := NewBuilder(Config{Retention: time.Minute})
	declare(b, 1, "app")
	if list, news := b.FormerServices(now); len(list) > 0 || news {
		t.Error("a service that stands counts as lost", list)
	}
	declare(b, 2, "other")
	list, news := b.FormerServices(now)
	if len(list) != 1 || !news || list[0].Service != "app" || !list[0].Until.Equal(now.Add(time.Minute)) {
		t.Error(list, news)
	}
	if again, news := b.FormerServices(now.Add(time.Second)); len(again) != 1 || news {
		t.Error("told twice", again, news)
	}
	if late, _ := b.FormerServices(now.Add(time.Minute)); len(late) > 0 {
		t.Error("kept for longer than flows live", late)
	}
	for name, c := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"in time": {59 * time.Second, true}, "too late": {time.Minute, false},
	} {
		fresh := NewBuilder(Config{Retention: time.Minute})
		declare(fresh, 2, "other")
		if got := fresh.RestoreFormerServices(now.Add(c.after), list); got != c.want || fresh.Table().Route(listen).EverUsed("app") != c.want {
			t.Error(name, got)
		}
		if kept, news := fresh.FormerServices(now.Add(c.after)); news || len(kept) > 0 && !kept[0].Until.Equal(list[0].Until) {
			t.Error(name, "what was kept is prolonged", kept, news)
		}
	}
}
