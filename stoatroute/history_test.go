package stoatroute

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Guards against former services that stay reachable by old cookies for good. A former service must be reported
// as new once, stay for as long as a flow lives, and not be read back from the platform after that.
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
	if list, added := b.FormerServices(now); len(list) > 0 || added {
		t.Error("a current service counts as a former one", list)
	}
	declare(b, 2, "other")
	list, added := b.FormerServices(now)
	if len(list) != 1 || !added || list[0].Service != "app" || !list[0].Until.Equal(now.Add(time.Minute)) {
		t.Error(list, added)
	}
	if again, added := b.FormerServices(now.Add(time.Second)); len(again) != 1 || added {
		t.Error("reported as new twice", again, added)
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
		if kept, added := fresh.FormerServices(now.Add(c.after)); added || len(kept) > 0 && !kept[0].Until.Equal(list[0].Until) {
			t.Error(name, "the time of a former service is extended", kept, added)
		}
	}
}
