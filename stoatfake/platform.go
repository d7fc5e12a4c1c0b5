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

// Faults configures what a Platform does wrong.
type Faults struct {
	Down             bool          // answers nothing
	Delay            time.Duration // before each answer
	DropWriteAnswers int           // number of further writes that take effect but get no answer
	StaleReplicas    bool          // replicas show the state at the time this was set
	SilentWatches    bool          // watches are never answered
	WriteLimit       int           // per second; more are refused; 0: no limit
	ReadLimit        int           // per second; more are refused; a waiting watch counts as one; 0: no limit
}

// pageSize is how many objects one page of a list holds.
const pageSize = 500

type key struct{ kind, name string }

// change is one revision of the history.
type change struct {
	key key
	ev  platform.Event
}

// Platform is a stand-in for the object store of the platform, written from its published protocol. It is an
// http.Handler.
type Platform struct {
	mu              sync.Mutex
	faults          Faults
	objects         map[key]platform.Object
	history         []change
	revision        uint64
	compacted       uint64        // the history after this revision is kept
	replicaRevision uint64        // the revision that replicas show while they are stale
	era             uint64        // how often a snapshot was restored
	changed         chan struct{} // closed and replaced with each change
	second          int64         // the Unix second in which writes and reads were counted
	writes          int
	reads           int
	calls           int64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[key]platform.Object{}, changed: make(chan struct{})}
}

// Snapshot is the content of a platform at one moment.
type Snapshot struct {
	objects   map[key]platform.Object
	history   []change
	revision  uint64
	compacted uint64
}

// Snapshot returns what the platform holds.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{objects: maps.Clone(p.objects), history: slices.Clone(p.history), revision: p.revision, compacted: p.compacted}
}

// Restore replaces what the platform holds by a snapshot. What was written since the snapshot is lost, its
// revisions are assigned again, and a new era begins.
func (p *Platform) Restore(snapshot Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.history, p.revision, p.compacted = maps.Clone(snapshot.objects), slices.Clone(snapshot.history), snapshot.revision, snapshot.compacted
	p.replicaRevision = min(p.replicaRevision, p.revision)
	p.era++
	p.wakeWatches()
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults, p.replicaRevision = faults, p.revision
	p.wakeWatches()
}

// CompactHistory drops the history: watches from earlier revisions are answered with status 410.
func (p *Platform) CompactHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.compacted = nil, p.revision
	p.wakeWatches()
}

// wakeWatches makes the waiting watches look again. p.mu must be held.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the number of requests so far.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Write writes an object unconditionally, as an operator or an upstream would, and returns its revision.
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
	p.record(k, platform.Event{Object: o, Deleted: true})
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

// put stores an object. If its spec is unchanged, its revision stays too. p.mu must be held.
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
	p.record(k, platform.Event{Object: o})
	return o
}

// record adds a change to the history. p.mu must be held.
func (p *Platform) record(k key, ev platform.Event) {
	p.history = append(p.history, change{key: k, ev: ev})
	p.wakeWatches()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(p.era, 10))
	p.mu.Unlock()
	write := r.Method != http.MethodGet
	faults, allowed := p.admit(write, r.URL.Query().Get("allow_stale") == "1")
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		closeConn(w)
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

// admit counts a request, and returns the faults and whether the request is within the limits. Reads from
// replicas are not limited.
func (p *Platform) admit(write, replica bool) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if now := time.Now().Unix(); now != p.second {
		p.second, p.writes, p.reads = now, 0, 0
	}
	count, limit := &p.reads, p.faults.ReadLimit
	if write {
		count, limit = &p.writes, p.faults.WriteLimit
	}
	if replica {
		return p.faults, true
	}
	*count++
	return p.faults, limit == 0 || *count <= limit
}

// closeConn closes the connection without an answer.
func closeConn(w http.ResponseWriter) {
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
	respond(w, http.StatusOK, o)
}

// list answers with one page. Stale replicas are not modelled for lists, since no client lists from a replica.
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
	if len(a.Items) > pageSize {
		a.Items, a.More = a.Items[:pageSize], true
	}
	respond(w, http.StatusOK, a)
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
	current, exists := p.objects[k]
	if status := refusal(r.Method, sent, current, exists); status != 0 {
		p.mu.Unlock()
		respond(w, status, current)
		return
	}
	o := p.put(k, sent.Spec)
	dropAnswer := p.faults.DropWriteAnswers > 0
	if dropAnswer {
		p.faults.DropWriteAnswers--
	}
	p.mu.Unlock()
	if dropAnswer {
		closeConn(w)
		return
	}
	respond(w, http.StatusOK, o)
}

// refusal returns the status for a write whose condition does not hold, or 0.
func refusal(method string, sent, current platform.Object, exists bool) int {
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict
	case method == http.MethodPut && !exists:
		return http.StatusNotFound
	case method == http.MethodPut && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision:
		return http.StatusConflict
	case method != http.MethodPost && method != http.MethodPut:
		return http.StatusMethodNotAllowed
	}
	return 0
}

// eventsAfter returns the changes of a kind after one revision and up to another. p.mu must be held.
func (p *Platform) eventsAfter(kind string, from, upTo uint64) []platform.Event {
	events := []platform.Event{}
	for _, c := range p.history {
		if rev := c.ev.Object.Meta.Revision; c.key.kind == kind && rev > from && rev <= upTo {
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
		faults, seen, changed, compacted, revision := p.faults, p.revision, p.changed, p.compacted, p.revision
		if faults.StaleReplicas && replica {
			seen = min(seen, p.replicaRevision)
		}
		events := p.eventsAfter(kind, from, seen)
		p.mu.Unlock()
		switch {
		case faults.Down:
			closeConn(w)
			return
		case from < compacted || from > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !faults.SilentWatches:
			respond(w, http.StatusOK, platform.ReadResult{Events: events, AsOf: seen})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			if !faults.SilentWatches {
				respond(w, http.StatusOK, platform.ReadResult{Events: events, AsOf: seen})
				return
			}
			<-r.Context().Done()
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		closeConn(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
