package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps every change, so that it can also answer as a
// replica that is some time behind.
type store struct {
	mu       sync.Mutex
	revision uint64
	log      []change
	objects  map[string]object // by kind/name
	changed  chan struct{}     // closed by the next change
	pageSize int
	// lag returns how far behind the replica is that answers this call; 0: the call is answered exactly. Only
	// calls with allow_stale are passed to it.
	lag func(via string, r *http.Request) time.Duration
	// refuse returns the status with which a call is refused; 0: it is served.
	refuse func(via string, r *http.Request) int
	rec    *record
	// cuts has a channel for each entry whose waiting watches are to be cut when it is closed.
	cuts map[string]chan struct{}
	// delay is how long each answer takes after the store has read what it answers; 0: no longer than usual.
	delay atomic.Int64
	// watchBegun is called with each watch that begins.
	watchBegun func(via, kind string, exact bool)
}

type meta struct {
	Name          string   `json:"name"`
	Revision      uint64   `json:"revision"`
	CreateRev     uint64   `json:"create_rev"`
	Finalizers    []string `json:"finalizers"`
	DeletePending bool     `json:"delete_pending"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	at       time.Time
	revision uint64
	kind     string
	object   object
	deleted  bool
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

func newStore(rec *record, pageSize int) *store {
	return &store{objects: map[string]object{}, changed: make(chan struct{}), pageSize: pageSize, rec: rec, cuts: map[string]chan struct{}{}}
}

// listen serves the store at addr; via names the entry that uses this address.
func (s *store) listen(addr, via string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, via) })}
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// cut cuts the waiting watches of an entry.
func (s *store) cut(via string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cutOf(via))
	delete(s.cuts, via)
}

func (s *store) cutOf(via string) chan struct{} {
	if s.cuts[via] == nil {
		s.cuts[via] = make(chan struct{})
	}
	return s.cuts[via]
}

// put creates or replaces an object, as an operator or a server does, and returns the revision.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, raw)
}

func (s *store) write(kind, name string, raw json.RawMessage) uint64 {
	s.revision++
	o, known := s.objects[kind+"/"+name]
	if !known {
		o = object{Meta: meta{Name: name, CreateRev: s.revision, Finalizers: []string{}}}
	}
	o.Meta.Revision, o.Spec = s.revision, raw
	s.objects[kind+"/"+name] = o
	s.append(change{kind: kind, object: o})
	return s.revision
}

func (s *store) append(c change) {
	c.at, c.revision = time.Now(), s.revision
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects[kind+"/"+name]; known {
		s.revision++
		delete(s.objects, kind+"/"+name)
		o.Meta.Revision = s.revision
		s.append(change{kind: kind, object: o, deleted: true})
	}
}

// stateAt returns the objects of a kind and the revision as a replica had them at a time. The caller locks mu.
func (s *store) stateAt(kind string, at time.Time) (map[string]object, uint64) {
	out, revision := map[string]object{}, uint64(0)
	for _, c := range s.log {
		if c.at.After(at) {
			break
		}
		revision = c.revision
		if c.kind != kind {
			continue
		}
		if c.deleted {
			delete(out, c.object.Meta.Name)
		} else {
			out[c.object.Meta.Name] = c.object
		}
	}
	return out, revision
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, via string) {
	if s.refuse != nil {
		if status := s.refuse(via, r); status != 0 {
			s.rec.printf("store: %s %s of %s refused with %d", r.Method, r.URL.RequestURI(), via, status)
			w.WriteHeader(status)
			return
		}
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && len(path) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, path[0], via)
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, r, path[0], via)
	case r.Method == http.MethodGet && len(path) == 2:
		s.mu.Lock()
		o, known := s.objects[path[0]+"/"+path[1]]
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(o)
	case (r.Method == http.MethodPost && len(path) == 1) || (r.Method == http.MethodPut && len(path) == 2):
		s.change(w, r, path)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, path []string) {
	body, _ := io.ReadAll(r.Body)
	var in object
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := in.Meta.Name
	if len(path) == 2 {
		name = path[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.objects[path[0]+"/"+name]
	switch {
	case r.Method == http.MethodPost && known, known && in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
		return
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.write(path[0], name, in.Spec)
	_ = json.NewEncoder(w).Encode(s.objects[path[0]+"/"+name])
}

func (s *store) lagOf(via string, r *http.Request) time.Duration {
	if r.URL.Query().Get("allow_stale") != "1" || s.lag == nil {
		return 0
	}
	return s.lag(via, r)
}

func (s *store) slow() { time.Sleep(time.Duration(s.delay.Load())) }

func (s *store) list(w http.ResponseWriter, r *http.Request, kind, via string) {
	behind := s.lagOf(via, r)
	s.mu.Lock()
	all, asOf := s.stateAt(kind, time.Now().Add(-behind))
	s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := []string{}
	for n := range all {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > s.pageSize
	if more {
		names = names[:s.pageSize]
	}
	items := []object{}
	for _, n := range names {
		items = append(items, all[n])
	}
	s.slow()
	s.rec.printf("store: list of %s for %s: after %q, stale allowed %t, as of %d, %d items, more %t", kind, via, after, r.URL.Query().Get("allow_stale") == "1", asOf, len(items), more)
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, via string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	behind := s.lagOf(via, r)
	if s.watchBegun != nil {
		s.watchBegun(via, kind, r.URL.Query().Get("allow_stale") != "1")
	}
	s.mu.Lock()
	cut := s.cutOf(via)
	s.mu.Unlock()
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		events, asOf := []event{}, uint64(0)
		s.mu.Lock()
		next := s.changed
		now := time.Now().Add(-behind)
		for _, c := range s.log {
			if c.at.After(now) {
				break
			}
			asOf = c.revision
			if c.kind == kind && c.revision > from {
				events = append(events, event{Deleted: c.deleted, Object: c.object})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || last {
			s.slow()
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		poll := make(<-chan time.Time)
		if behind > 0 {
			poll = time.After(50 * time.Millisecond)
		}
		select {
		case <-next:
		case <-poll:
		case <-end.C:
			last = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// upstreamSpec returns the spec of a server's registration.
func upstreamSpec(service, addr, zone, state string, cold time.Duration, seq int) map[string]any {
	return map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": cold.Milliseconds(), "seq": seq,
	}
}

type route struct {
	host, service, kind string
	port                int
}

func configSpec(version int, routes []route, services ...string) map[string]any {
	rs, ss := []any{}, []any{}
	for i, x := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": x.host, "path_prefix": fmt.Sprintf("/%d/", x.port), "type": x.kind, "timeout_ms": 2500,
			"target_latency_ms": 250, "priority": 1, "service": x.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
