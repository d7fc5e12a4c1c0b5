package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The stand-in of the platform's metadata store, as PROTOCOL describes it: kinds, names, one revision counter,
// lists, watches, conditional writes. It answers truthfully. A call with allow_stale sees the state of replicaLag ago.

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

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
	rev     uint64
	at      time.Time
}

type store struct {
	addr       string
	replicaLag time.Duration
	mu         sync.Mutex
	rev        uint64
	objects    map[string]map[string]object
	history    []event
	changed    chan struct{}
	listener   net.Listener
	written    map[string]time.Time // when each entry of servers was last written
}

const storeDelay = 4 * time.Millisecond

func newStore(addr string, lag time.Duration) (*store, error) {
	s := &store{addr: addr, replicaLag: lag, rev: 10, objects: map[string]map[string]object{}, changed: make(chan struct{}), written: map[string]time.Time{}}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s.listener = ln
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put writes an object and returns its revision. A write that changes nothing, or nothing but seq, is no change.
func (s *store) put(kind, name string, spec json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "servers" {
		s.written[name] = time.Now()
	}
	o, exists := s.objects[kind][name]
	if exists && sameSpec(o.Spec, spec) {
		return o.Meta.Revision
	}
	s.rev++
	if !exists {
		o.Meta = meta{Name: name, CreateRev: s.rev, Finalizers: []string{}}
	}
	o.Meta.Revision, o.Spec = s.rev, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(kind, event{Object: o})
	return s.rev
}

func sameSpec(a, b json.RawMessage) bool {
	if string(a) == string(b) {
		return true
	}
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	p, _ := json.Marshal(x)
	q, _ := json.Marshal(y)
	return string(p) == string(q)
}

// expire removes the entries of servers that were not written for three liveness report intervals, until the run ends.
func (s *store) expire() {
	for {
		time.Sleep(heartbeat / 10)
		s.mu.Lock()
		var silent []string
		for name := range s.objects["servers"] {
			if time.Since(s.written[name]) > 3*heartbeat {
				silent = append(silent, name)
			}
		}
		s.mu.Unlock()
		for _, name := range silent {
			s.remove("servers", name)
		}
	}
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Meta.Revision = s.rev
	s.record(kind, event{Object: o, Deleted: true})
}

func (s *store) record(kind string, ev event) {
	ev.kind, ev.rev, ev.at = kind, s.rev, time.Now()
	s.history = append(s.history, ev)
	close(s.changed)
	s.changed = make(chan struct{})
}

// view returns the revision that a call sees.
func (s *store) view(stale bool) uint64 {
	if !stale || s.replicaLag == 0 {
		return s.rev
	}
	limit := time.Now().Add(-s.replicaLag)
	rev := uint64(10)
	for _, ev := range s.history {
		if ev.at.After(limit) {
			break
		}
		rev = ev.rev
	}
	return rev
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	q := r.URL.Query()
	stale := q.Get("allow_stale") == "1"
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case q.Has("watch"):
		s.watch(w, r, kind, stale)
	default:
		s.list(w, kind, q.Get("after"), stale)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

const pageSize = 50

func (s *store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	rev := s.view(stale)
	all := map[string]object{}
	for _, ev := range s.history {
		if ev.kind != kind || ev.rev > rev {
			continue
		}
		if ev.Deleted {
			delete(all, ev.Object.Meta.Name)
		} else {
			all[ev.Object.Meta.Name] = ev.Object
		}
	}
	s.mu.Unlock()
	items := []object{}
	for n, o := range all {
		if n > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "as_of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, stale bool) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rev, changed := s.view(stale), s.changed
		events := []event{}
		for _, ev := range s.history {
			if ev.kind == kind && ev.rev > from && ev.rev <= rev {
				events = append(events, ev)
			}
		}
		s.mu.Unlock()
		left := time.Until(end)
		if len(events) > 0 || left <= 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		if stale && s.replicaLag > 0 {
			left = min(left, 20*time.Millisecond)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && exists, o.Meta.Revision != 0 && exists && o.Meta.Revision != current.Meta.Revision:
		answer(w, http.StatusConflict, current)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		s.put(kind, name, o.Spec)
	}
	s.mu.Lock()
	current = s.objects[kind][name]
	s.mu.Unlock()
	answer(w, http.StatusOK, current)
}
