// Command standins plays the cases of the review: stand-ins of the platform's store, of servers, of consumers and
// of the routers, around entries that are processes of the real program. It runs in the root of the repository.
//
//	standins CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"
)

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// verdict is how a case ended.
type verdict struct {
	broken int
	why    string
	err    error
}

var cases = map[string]func(folder string) verdict{
	"planned":    plannedCase,
	"route":      routeCase,
	"stale":      staleCase,
	"unreadable": unreadableCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case takes too long")
		os.Exit(2)
	})
	v := cases[os.Args[1]](os.Args[2])
	switch {
	case v.err != nil:
		fmt.Println("could not run:", v.err)
		os.Exit(2)
	case v.broken > 0:
		fmt.Printf("broken: %s\n", v.why)
		os.Exit(1)
	}
	fmt.Printf("held: %s\n", v.why)
}

// route is a route of the configuration.
type route struct {
	name    string
	listen  netip.AddrPort
	service string
	kind    string
}

// writeConfig writes a version of the configuration, as the operator does.
func (w *world) writeConfig(version int, routes []route, services ...string) {
	var list, all []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.listen.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.listen.Port()), "type": r.kind,
			"timeout_ms": 2000, "target_latency_ms": 120, "priority": 2, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		all = append(all, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	spec, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	rev := w.store.put("config", "main", spec)
	w.note("the store acknowledges version %d of the configuration, revision %d, with %d routes", version, rev, len(routes))
}

// entryAt returns the entry with a control address.
func (w *world) entryAt(addr string) *entry {
	for _, e := range w.entries {
		if e.at(w.controlPort).String() == addr {
			return e
		}
	}
	return nil
}
