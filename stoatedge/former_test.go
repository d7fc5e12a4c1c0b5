package stoatedge_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// Guards against flows cut by a power loss of all entries after their route moved to another service: what
// nobody remembers any more is read from the platform.
func TestFormerServicesOutliveAllEntries(t *testing.T) {
	r := newRig(t)
	a, setA, _ := r.start("127.0.0.11")
	r.wait("it serves", func() bool { return isReady(setA) })
	r.send(setA, packet(flagSYN, 40001, 443, 0))
	i, _, cookie := r.arrives()
	r.configure(2, "other")
	r.wait("the service before is kept", func() bool { return len(r.store.Names(stoatplatform.StoreKind)) == 1 })
	a.Kill()
	b, setB, _ := r.start("127.0.0.12")
	r.wait("another one serves", func() bool { return isReady(setB) })
	route := b.Table().Declaration.Routes[0].Listen
	r.wait("it knows the service before", func() bool { return b.Table().Route(route).EverUsed("app") })
	r.send(setB, packet(flagACK, 40001, 443, cookie))
	if j, _, again := r.arrives(); j != i || again != cookie {
		t.Error("the flow went to", j)
	}
}
