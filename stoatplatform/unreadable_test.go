package stoatplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// clientOf returns a client of a platform whose answers to lists, watches and calls for one object are given.
func clientOf(t *testing.T, list, watch, object string) *stoatplatform.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Has("watch"):
			_, _ = w.Write([]byte(watch))
		case strings.HasSuffix(r.URL.Path, "/"+stoatplatform.StoreKind):
			_, _ = w.Write([]byte(list))
		default:
			_, _ = w.Write([]byte(object))
		}
	}))
	t.Cleanup(srv.Close)
	return stoatplatform.New(stoatplatform.Config{Addr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))})
}

// Guards against an object of another writer that hides all objects of the system: no contract could be read or amended.
// One that has a name of the system's has no value, and its version is known.
func TestUnreadableObjectAmongOthers(t *testing.T) {
	ctx := context.Background()
	good := `{"meta":{"name":"contract.sawt","revision":5,"finalizers":[]},"spec":{"token":"a","value":{"x":1}}}`
	for name, spec := range map[string]string{
		"another type": `7`, "a field of another type": `{"gone":"yes"}`, "no JSON": "\xff]", "nested arrays": strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	} {
		bad := `{"meta":{"name":"contract.lost","revision":6,"finalizers":[]},"spec":` + spec + `}`
		foreign := `{"meta":{"name":"other","revision":7,"finalizers":[]},"spec":` + spec + `}`
		event := func(o string) string { return `{"object":` + o + `,"deleted":false}` }
		c := clientOf(t, `{"items":[`+foreign+`,`+bad+`,`+good+`],"as_of":9}`, `{"events":[`+event(foreign)+`,`+event(bad)+`,`+event(good)+`],"as_of":9}`, bad)
		list, err := c.List(ctx)
		if err != nil {
			t.Error(name, err)
		}
		watch, err := c.Watch(ctx, 1, time.Second)
		if err != nil {
			t.Error(name, err)
		}
		for _, l := range []stoatpaddle.Listing{list, watch} {
			if len(l.Objects) != 2 || len(l.Foreign) != 1 || l.Revision != 9 {
				t.Errorf("%s: %+v", name, l)
				continue
			}
			if lost, kept := l.Objects[0], l.Objects[1]; lost.Version != 6 || len(lost.Value) != 0 || lost.Deleted || string(kept.Value) != `{"x":1}` || kept.Token != "a" {
				t.Errorf("%s: %+v", name, l.Objects)
			}
		}
		if o, err := c.Get(ctx, stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectContract, Name: "lost"}); err != nil || o.Version != 6 || len(o.Value) != 0 {
			t.Errorf("%s: %+v, %v", name, o, err)
		}
	}
}

// Guards against a list that never ends: no name of a page can be read, and the platform says that there are more pages.
func TestPageWithoutNames(t *testing.T) {
	c := clientOf(t, `{"items":[{"meta":7,"spec":{}}],"more":true,"as_of":9}`, ``, ``)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if l, err := c.List(ctx); err == nil || ctx.Err() != nil {
		t.Errorf("%+v, %v, %v", l, err, ctx.Err())
	}
}
