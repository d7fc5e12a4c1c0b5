package stoatedge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// Guards against former services that are lost, and flows dropped as forged, because one of them cannot be read.
func TestUnreadableFormerService(t *testing.T) {
	good := `{"listen":"198.18.0.1:443","service":"app","until":1790000000000}`
	for _, bad := range []string{`7`, `{"listen":"nowhere"}`, `{"listen":"198.18.0.2:443","until":"soon"}`, `[[]]`} {
		x, err := decodeFormer([]byte(`{"version":4,"routes":[` + bad + `,` + good + `]}`))
		if err == nil || x.version != 4 || len(x.former) != 1 || x.former[0].Service != "app" {
			t.Errorf("%s: %+v, %v", bad, x, err)
		}
	}
}

// Guards against former services that are not found behind objects of other writers, which fill the first pages.
func TestFormerServicesOnALaterPage(t *testing.T) {
	good := `{"meta":{"name":"routes.former","revision":5},"spec":{"value":{"version":4,"routes":[{"listen":"198.18.0.1:443","service":"app","until":1790000000000}]}}}`
	pages := map[string]string{
		"":        `{"items":[{"meta":{"name":"other.a","revision":1},"spec":\xff}],"more":true,"as_of":9}`,
		"other.a": `{"items":[{"meta":{"name":"other.b","revision":2},"spec":7}],"more":true,"as_of":9}`,
		"other.b": `{"items":[` + good + `],"as_of":9}`,
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(pages[r.URL.Query().Get("after")]))
	}))
	defer srv.Close()
	e := &Edge{store: platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))}
	if x, err := e.readFormer(context.Background()); err != nil || len(x.former) != 1 {
		t.Errorf("%+v, %v", x, err)
	}
}
