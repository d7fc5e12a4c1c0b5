package stoatsetting_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// The settings template, with its placeholders replaced as the provider's platform does it, equals
// deploy/testdata/rendered.ini, and its settings have no fault.
func TestTemplate(t *testing.T) {
	template, err := os.ReadFile("../deploy/entry.ini")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("../deploy/testdata/rendered.ini")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		"{{node_name}}", "edge-ruwi-1", "{{zone}}", "ruwi", "{{ip}}", "10.1.0.10",
		"{{bind_addrs.datagram_addr}}", "10.1.0.10:8172", "{{bind_addrs.readiness_addr}}", "10.1.0.10:8167",
		"{{bind_addrs.control}}", "10.1.0.10:8166", "{{forwarding_mode}}", "echo",
		"{{#limits.cpu_share}}", "", "{{/limits.cpu_share}}", "", "{{limits.cpu_share}}", "0.4",
		"{{#limits.memory_mb}}", "", "{{/limits.memory_mb}}", "", "{{limits.memory_mb}}", "284",
		"{{#limits.link_mbps}}", "", "{{/limits.link_mbps}}", "", "{{limits.link_mbps}}", "1000.0",
		"{{#bounds.drain_ms}}", "", "{{/bounds.drain_ms}}", "", "{{bounds.drain_ms}}", "3000",
		"{{#bounds.evacuate_ms}}", "", "{{/bounds.evacuate_ms}}", "", "{{bounds.evacuate_ms}}", "5000",
		"{{#zones}}{{@}} = {{.}}\n{{/zones}}", "ruwi = muscat\nseeb = muscat\n",
		"{{#seeds.0}}", "", "{{/seeds.0}}", "", "{{seeds}}", "10.1.0.10:8166,10.2.0.40:8166,10.3.0.7:8166",
		"{{platform.address}}", "10.200.1.7:8169", "{{bounds.config_apply_ms}}", "3000",
		"{{bounds.grace_s}}", "6", "{{bounds.flow_lifetime_s}}", "60",
	).Replace(string(template))
	_, body, _ := strings.Cut(text, "\n")
	if _, wantBody, _ := strings.Cut(string(want), "\n"); body != wantBody {
		t.Errorf("rendered template:\n%s", body)
	}
	settings, err := stoatsetting.Parse("entry.ini", []byte(text))
	if err != nil || settings.Fabric != stoatsetting.FabricEcho || len(settings.Seeds) != 3 || settings.CPUShare != 0.4 || settings.LinkMbps != 1000 || settings.MemoryBytes() != 284<<20 || settings.MaxDelay() != 3*time.Second || !settings.MetricsAddr.IsValid() ||
		settings.MaxEvacuateDelay != 5*time.Second || settings.Regions["seeb"] != "muscat" || len(settings.Regions) != 2 {
		t.Errorf("%+v %v", settings, err)
	}
}

// The platform is read as often as the shortest of the maximum delays requires, whichever that is.
func TestMaxDelay(t *testing.T) {
	for _, c := range []struct{ apply, leave, evacuate, want time.Duration }{
		{3 * time.Second, 0, 0, 3 * time.Second},
		{3 * time.Second, 5 * time.Second, 0, 3 * time.Second},
		{3 * time.Second, 2 * time.Second, 4 * time.Second, 2 * time.Second},
		{30 * time.Second, 6 * time.Second, 5 * time.Second, 5 * time.Second},
	} {
		if got := (stoatsetting.Settings{MaxApplyDelay: c.apply, MaxLeaveDelay: c.leave, MaxEvacuateDelay: c.evacuate}).MaxDelay(); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}
