package stoatedge_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// Guards against a restored platform whose changes never come into force. The platform comes back from a copy
// some seconds old and assigns revisions again. Entries that compared them with earlier ones took each list
// for that of a lagging replica and repeated it at once, at 150 to 220 calls a second, and rejected its
// configuration. Once the revisions had caught up, a watch went on from there and missed what had been
// written at lower revisions: callers used a removed route for 7 s and more after its removal was confirmed.
func TestConfigurationAfterARestore(t *testing.T) {
	r := newRig(t)
	seed, set, _ := r.start("127.0.0.11")
	follower, second, _ := r.start("127.0.0.12", set.AdminAddr)
	r.wait("both are ready", func() bool { return isReady(set) && isReady(second) })
	copied := r.store.Snapshot()
	for version := 2; version <= 9; version++ {
		r.configure(version, "app")
	}
	r.wait("the last version is in force", func() bool { return seed.Table().Declaration.Version == 9 && follower.Table().Declaration.Version == 9 })

	r.store.SetFaults(stoatfake.Faults{Down: true})
	r.store.Restore(copied)
	r.store.SetFaults(stoatfake.Faults{})
	r.configure(10, "app")

	r.wait("a version that was confirmed after the restore is in force", func() bool {
		return seed.Table().Declaration.Version == 10 && follower.Table().Declaration.Version == 10
	})
}
