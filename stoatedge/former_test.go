package stoatedge_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// Guards against flows cut by a power loss of all entries after their route moved to another service: the
// former service, which no entry knows any more, is read from the platform.
func TestFormerServicesOutliveAllEntries(t *testing.T) {
	r := newRig(t)
	a, setA, _ := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(setA) })
	r.send(setA, packet(flagSYN, 40001, 443, 0))
	i, _, cookie := r.receiveAtUpstream()
	r.configure(2, "other")
	r.wait("the former service is saved", func() bool { return len(r.store.Names(stoatplatform.StoreKind)) == 1 })
	a.Kill()
	b, setB, _ := r.start("127.0.0.12")
	r.wait("another entry is ready", func() bool { return isReady(setB) })
	route := b.Table().Declaration.Routes[0].Listen
	r.wait("it knows the former service", func() bool { return b.Table().Route(route).EverUsed("app") })
	r.send(setB, packet(flagACK, 40001, 443, cookie))
	if j, _, again := r.receiveAtUpstream(); j != i || again != cookie {
		t.Error("the flow went to", j)
	}
}
