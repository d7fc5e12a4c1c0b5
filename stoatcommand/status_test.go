package stoatcommand

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// Operators read this output, and scripts parse it: levels and spills belong to the entry above them.
func TestStatusOfLevelsAndSpills(t *testing.T) {
	cs := clusterStatus{Silent: []string{"edge-3"}, Entries: []stoatstatus.Status{
		{
			Instance: "edge-1", Ready: true, PlatformAvailable: true, WatchesPlatform: true,
			Levels: []stoatstatus.Level{{
				Service: "app", Centre: "ruwi", Priority: 0, Arrived: 12.5, Admitted: 12.5, Share: 1, RejectedShare: 0.25, Shared: true,
			}, {
				Service: "app", Centre: "ruwi", Priority: 2, Arrived: 30, Admitted: 3, Share: 0.1, RejectedShare: 0.25, Shared: true, LimitedMS: 1500,
				Refused: map[string]int64{"level": 40, "fairness": 2},
			}},
			Spills: []stoatstatus.Spill{{
				Service: "app", Spilling: true, Reason: "refused", Rule: "room", RejectedShare: 0.25, RefusedShare: 0.5, Share: 0.3, SinceMS: 900,
				Targets: []stoatstatus.Room{
					{Centre: "seeb", PerSecond: 27.64, AgeMS: 400, Usable: true, Spilled: 65},
					{Centre: "sur", AgeMS: 3200, Spilling: true},
				},
			}},
		},
		{Instance: "edge-2", Leaving: true},
	}}
	var out bytes.Buffer
	cs.print(&out)
	const want = `edge-1           ready=true leaving=false platform=true watching=true
  app in ruwi, priority 0: arrived=12.5/s admitted=12.5/s share=1.00 turned=0.25 shared=true
  app in ruwi, priority 2: arrived=30.0/s admitted=3.0/s share=0.10 turned=0.25 shared=true limited=1500ms fairness=2 level=40
  app: spilling=true reason="refused" rule=room turned=0.25 denied=0.50 share=0.30 since=900ms
    room in seeb: 27.6/s age=400ms usable=true spilling=false spilled=65
    room in sur: 0.0/s age=3200ms usable=false spilling=true spilled=0
edge-2           ready=false leaving=true platform=false watching=false
edge-3           does not answer
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}
