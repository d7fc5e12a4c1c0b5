package stoatfake

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// Faults is what a platform stand-in is told to do wrong.
type Faults struct {
	Down             bool          // answers nothing
	Delay            time.Duration // before each answer
	DropWriteAnswers int           // so many writes take effect and get no answer
	StaleReplicas    bool          // replicas show what stood when this was set
	SilentWatches    bool          // watches never tell anything
	WriteLimit       int           // a second; more are refused; 0: no limit
	ReadLimit        int           // a second; more are refused; a waiting watch is one
}

// pageItems is how many objects a page of a list holds.
const pageItems = 500

type key struct{ kind, name string }

// change is one revision of the history.
type change struct {
	key key
	ev  platform.Event
}

// Platform is a stand-in for the users' object store, written from their published
// protocol; it is an http.Handler.
type Platform struct {
	mu       sync.Mutex
	trouble  Faults
	objects  map[key]platform.Object
	history  []change
	revision uint64
	from     uint64 // the history after this revision is kept
	lag      uint64 // the revision that replicas show, while they lag
	era      uint64 // how often a copy was restored
	changed  chan struct{}
	second   int64
	writes   int
	reads    int
	calls    int64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[key]platform.Object{}, changed: make(chan struct{})}
}

// Snapshot is what a platform held at one moment.
type Snapshot struct {
	objects  map[key]platform.Object
	history  []change
	revision uint64
	from     uint64
}

// Snapshot copies what the platform holds.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{objects: maps.Clone(p.objects), history: slices.Clone(p.history), revision: p.revision, from: p.from}
}

// Restore makes a copy what the platform holds. What was written since the copy was made is lost, and
// its revisions are given out again.
func (p *Platform) Restore(c Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.history, p.revision, p.from = maps.Clone(c.objects), slices.Clone(c.history), c.revision, c.from
	p.lag = min(p.lag, p.revision)
	p.era++
	p.wake()
}

// SetFaults replaces the trouble.
func (p *Platform) SetFaults(t Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble, p.lag = t, p.revision
	p.wake()
}

// CompactHistory drops the history: watches from before now are answered with 410.
func (p *Platform) CompactHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.from = nil, p.revision
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the number of calls since the start.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Write writes an object as an operator or an upstream would, whatever stands there.
func (p *Platform) Write(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(key{kind, name}, data).Meta.Revision
}

// Remove deletes an object.
func (p *Platform) Remove(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := key{kind, name}
	o, ok := p.objects[k]
	if !ok {
		return
	}
	delete(p.objects, k)
	p.revision++
	o.Meta.Revision = p.revision
	p.note(k, platform.Event{Object: o, Deleted: true})
}

// Names returns the names of a kind's objects, in any order.
func (p *Platform) Names(kind string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for k := range p.objects {
		if k.kind == kind {
			out = append(out, k.name)
		}
	}
	return out
}

// Objects returns the system's own objects, in the order of their last change.
func (p *Platform) Objects() []stoatpaddle.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []stoatpaddle.Object
	for k, o := range p.objects {
		if own, err := stoatplatform.FromStoreObject(o, p.era+1); k.kind == stoatplatform.StoreKind && err == nil {
			out = append(out, own)
		}
	}
	slices.SortFunc(out, func(a, b stoatpaddle.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

func (p *Platform) put(k key, spec json.RawMessage) platform.Object {
	o, ok := p.objects[k]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	p.revision++
	if !ok {
		o.Meta = platform.Meta{Name: k.name, CreateRevision: p.revision, Finalizers: []string{}}
	}
	o.Meta.Revision, o.Spec = p.revision, spec
	p.objects[k] = o
	p.note(k, platform.Event{Object: o})
	return o
}

func (p *Platform) note(k key, ev platform.Event) {
	p.history = append(p.history, change{key: k, ev: ev})
	p.wake()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(p.era, 10))
	p.mu.Unlock()
	write := r.Method != http.MethodGet
	t, allowed := p.admit(write, r.URL.Query().Get("allow_stale") == "1")
	if t.Delay > 0 {
		time.Sleep(t.Delay)
	}
	if t.Down {
		hangUp(w)
		return
	}
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case write:
		p.write(w, r, key{kind, name})
	case name != "":
		p.get(w, key{kind, name})
	case r.URL.Query().Has("watch"):
		p.watch(w, r, kind)
	default:
		p.list(w, r, kind)
	}
}

func (p *Platform) admit(write, replica bool) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if now := time.Now().Unix(); now != p.second {
		p.second, p.writes, p.reads = now, 0, 0
	}
	count, limit := &p.reads, p.trouble.ReadLimit
	if write {
		count, limit = &p.writes, p.trouble.WriteLimit
	}
	if replica {
		return p.trouble, true
	}
	*count++
	return p.trouble, limit == 0 || *count <= limit
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, k key) {
	p.mu.Lock()
	o, ok := p.objects[k]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// list answers one page. A lagging replica is not modelled for lists: nothing asks one.
func (p *Platform) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	a := platform.ReadResult{Items: []platform.Object{}}
	p.mu.Lock()
	for k, o := range p.objects {
		if k.kind == kind && k.name > after {
			a.Items = append(a.Items, o)
		}
	}
	a.AsOf = p.revision
	p.mu.Unlock()
	slices.SortFunc(a.Items, func(x, y platform.Object) int { return cmp.Compare(x.Meta.Name, y.Meta.Name) })
	if len(a.Items) > pageItems {
		a.Items, a.More = a.Items[:pageItems], true
	}
	answer(w, http.StatusOK, a)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, k key) {
	var sent platform.Object
	if body, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		k.name = sent.Meta.Name
	}
	p.mu.Lock()
	current, standing := p.objects[k]
	if status := refusal(r.Method, sent, current, standing); status != 0 {
		p.mu.Unlock()
		answer(w, status, current)
		return
	}
	o := p.put(k, sent.Spec)
	lose := p.trouble.DropWriteAnswers > 0
	if lose {
		p.trouble.DropWriteAnswers--
	}
	p.mu.Unlock()
	if lose {
		hangUp(w)
		return
	}
	answer(w, http.StatusOK, o)
}

// refusal returns the status of a write whose condition does not hold, or 0.
func refusal(method string, sent, current platform.Object, standing bool) int {
	switch {
	case method == http.MethodPost && standing:
		return http.StatusConflict
	case method == http.MethodPut && !standing:
		return http.StatusNotFound
	case method == http.MethodPut && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision:
		return http.StatusConflict
	case method != http.MethodPost && method != http.MethodPut:
		return http.StatusMethodNotAllowed
	}
	return 0
}

// since returns the changes of a kind after a revision, as far as the asker may see.
func (p *Platform) since(kind string, from, seen uint64) []platform.Event {
	events := []platform.Event{}
	for _, c := range p.history {
		if rev := c.ev.Object.Meta.Revision; c.key.kind == kind && rev > from && rev <= seen {
			events = append(events, c.ev)
		}
	}
	return events
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	replica := r.URL.Query().Get("allow_stale") == "1"
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		t, seen, changed, kept, whole := p.trouble, p.revision, p.changed, p.from, p.revision
		if t.StaleReplicas && replica {
			seen = min(seen, p.lag)
		}
		events := p.since(kind, from, seen)
		p.mu.Unlock()
		switch {
		case t.Down:
			hangUp(w)
			return
		case from < kept || from > whole:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !t.SilentWatches:
			answer(w, http.StatusOK, platform.ReadResult{Events: events, AsOf: seen})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			if !t.SilentWatches {
				answer(w, http.StatusOK, platform.ReadResult{Events: events, AsOf: seen})
				return
			}
			<-r.Context().Done()
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		hangUp(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
