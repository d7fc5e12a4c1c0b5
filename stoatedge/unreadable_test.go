package stoatedge_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// withOther returns the platform with one more upstream object in each answer that has any, as another program might
// write it.
func withOther(p http.Handler, object string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		p.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if strings.HasSuffix(r.URL.Path, "/"+platform.KindUpstream) {
			body = bytes.Replace(body, []byte(`"items":[`), []byte(`"items":[`+object+`,`), 1)
			body = bytes.Replace(body, []byte(`"events":[`), []byte(`"events":[{"object":`+object+`,"deleted":false},`), 1)
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	})
}

// Guards against flows to a draining upstream because an entry cannot read what another program wrote beside it: arrays
// nested deeper than the library reads (review/3), or bytes that are no JSON.
func TestDrainingBesideAnUnreadableObject(t *testing.T) {
	for name, spec := range map[string]string{
		"nested arrays": strings.Repeat("[", 9999) + strings.Repeat("]", 9999), "no JSON": "\xff]",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			srv := httptest.NewServer(withOther(r.store, `{"meta":{"name":"i-000000ff","revision":1,"finalizers":[]},"spec":`+spec+`}`))
			t.Cleanup(srv.Close)
			r.addr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
			e, set, l := r.start("127.0.0.11")
			r.wait("it is ready", func() bool { return isReady(set) })
			r.register(0, "draining")
			r.wait("the draining upstream is known", func() bool { return len(e.Table().Candidates("app")) == 1 })
			r.send(set, packet(flagSYN, 40001, 443, 0))
			if i, _, _ := r.receiveAtUpstream(); i != 1 {
				t.Error("a new flow went to the draining upstream")
			}
			r.wait("the object is logged", func() bool { return l.has(`"event":"SP1406"`) && l.has("i-000000ff") })
		})
	}
}
