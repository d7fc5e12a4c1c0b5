package stoatedge_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// A route had been taken out and the change confirmed, and callers went on being served by it for longer
// than the bound. The store had been away for three seconds and had come back from a copy some seconds
// old, which gives its revisions out again. Entries compared them with those of before: each list was
// taken for that of a replica that is behind and asked for again at once, 150 to 220 calls a second, and
// the configuration in it was refused since its revision was not above the one in force. When the store
// had counted up to that one, a watch went on from there, and what had been written below it was never
// read:
//
//	13.03 s SP1405 configuration in force, version 21, revision 26, at all entries
//	19.29 s SP1409 platform answers again, away 3.27 s
//	20.03 s platform_call_seconds_count{topic="configuration",kind="list"} 60, two before
//	22.82 s SP1407 an upstream is leaving, written at 22.80 s: the lists are not old
//	22.84 s version 24 confirmed; no SP1405 at any entry
//	25.52 s version 32 is written, the calls stop at all entries within 10 ms
//	30.02 s stoatpaddle_config_version 21
func TestConfigurationAfterARestore(t *testing.T) {
	r := newRig(t)
	seed, set, _ := r.start("127.0.0.11")
	follower, second, _ := r.start("127.0.0.12", set.AdminAddr)
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
