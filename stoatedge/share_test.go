package stoatedge_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Two entries somewhere below the seed wait for an upstream without an answer and report that to the last
// entry of the tree. The seed, which hears of it through two others, and each of these exclude the upstream,
// although none of them ever sent it a packet.
func TestSilenceReachesAll(t *testing.T) {
	r := newRig(t)
	// A third of the group may be excluded because of others' reports, so there must be three upstreams.
	third := r.listen("127.0.0.1:0")
	r.store.Write(platform.KindUpstream, "i-00000033", map[string]any{
		"service": "app", "address": third.LocalAddr().String(), "zone": "here", "version": "v1", "slots": 3, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1,
	})
	_, setSeed, logSeed := r.start("127.0.0.21")
	r.wait("the seed is ready", func() bool { return isReady(setSeed) })
	b, setB, logB := r.start("127.0.0.22", setSeed.AdminAddr)
	r.wait("the second has a parent", func() bool { return depth(b) == 1 })
	c, setC, logC := r.start("127.0.0.23", setB.AdminAddr)
	r.wait("the third gets updates through the second", func() bool { return depth(c) == 2 })
	r.wait("all upstreams are known", func() bool { return len(c.Table().Candidates("app")) == 3 })

	now := time.Now()
	reports := stoatoutlier.Encode(now, []stoatoutlier.Report{{
		Key: stoatroute.KeyOf(stoatpaddle.TargetID(0x11)),
		Silence: stoatoutlier.Silence{
			WaitingEntries: 2, FirstWaitSince: now.Add(-800 * time.Millisecond), SecondWaitSince: now.Add(-700 * time.Millisecond),
		},
	}})
	// A report that cannot be read does not hide the other one.
	body, err := msgpack.Marshal([]any{"x", &reports[0]})
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post("http://"+setC.AdminAddr.String()+"/v1/seen?whole=1&from=127.0.0.24:9999", "", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		t.Fatal(res.Status)
	}
	for name, l := range map[string]*logBuffer{"the last": logC, "the second": logB, "the seed": logSeed} {
		r.wait(name+" excludes the upstream", func() bool { return l.has(`"SP1430"`) })
	}
}
