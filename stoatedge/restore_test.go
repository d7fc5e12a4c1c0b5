package stoatedge_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// A route had been taken out and the change confirmed, and callers went on being served by it for longer
// than the bound. The store had been away for three seconds and had come back with lower revisions than
// before. From then on each entry listed it without a pause, 150 to 220 calls a second of which all were
// answered, and no configuration came into force:
//
//	19.29 s SP1409 platform answers again, away 3.27 s
//	20.03 s platform_call_seconds_count{topic="configuration",kind="list"} 60, two before
//	22.84 s version 24 confirmed; no SP1405 at any entry
//	25.52 s the calls stop; 30.02 s stoatpaddle_config_version 21
func TestConfigurationAfterARestore(t *testing.T) {
	r := newRig(t)
	seed, set, _ := r.start("127.0.0.11")
	follower, second, _ := r.start("127.0.0.12", set.Admin)
	r.wait("both serve", func() bool { return isReady(set) && isReady(second) })
	copied := r.store.Save()
	for version := 2; version <= 9; version++ {
		r.configure(version, "app")
	}
	r.wait("the last version is in force", func() bool { return seed.Table().Declaration.Version == 9 && follower.Table().Declaration.Version == 9 })

	r.store.Set(stoatfake.Trouble{Down: true})
	r.store.Restore(copied)
	r.store.Set(stoatfake.Trouble{})
	r.configure(10, "app")

	r.wait("a version that was confirmed after the restore is in force", func() bool {
		return seed.Table().Declaration.Version == 10 && follower.Table().Declaration.Version == 10
	})
}
