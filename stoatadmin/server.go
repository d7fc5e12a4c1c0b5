package stoatadmin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// Config configures a Server.
type Config struct {
	Platform stoatpaddle.Platform
	Status   func() (stoatnode.Status, error)
	Metrics  func(w io.Writer)
	Report   func() stoatstatus.Report
	Clock    func() time.Time
	Rand     *rand.Rand // of the pauses between tries
}

// Server is the administration API; it is an http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux
	mu  sync.Mutex // guards cfg.Rand
}

// maxContract bounds a contract's text: the platform holds values up to a megabyte.
const maxContract = 1 << 20

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/contracts", s.listContracts)
	s.mux.HandleFunc("GET /v1/contracts/{name}", s.getContract)
	s.mux.HandleFunc("PUT /v1/contracts/{name}", s.putContract)
	s.mux.HandleFunc("DELETE /v1/contracts/{name}", s.deleteContract)
	s.mux.HandleFunc("GET /v1/instances", s.listInstances)
	s.mux.HandleFunc("PUT /v1/instances/{name}", s.markInstance)
	s.mux.HandleFunc("PUT /v1/evacuations/{name}", s.evacuate)
	s.mux.HandleFunc("DELETE /v1/evacuations/{name}", s.takeBack)
	s.mux.HandleFunc("GET /v1/status", s.getStatus)
	s.mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, cfg.Report()) })
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { cfg.Metrics(w) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func refuse(w http.ResponseWriter, status int, e *stoatevent.Definition, a Response) {
	a.Outcome, a.Number, a.Title = OutcomeRefused, e.Number.String(), e.Title
	reply(w, status, a)
}

func contractRef(r *http.Request) stoatpaddle.ObjectRef {
	return stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectContract, Name: r.PathValue("name")}
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	st, err := s.cfg.Status()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, ProblemPlatformUnavailable, Response{})
		return
	}
	reply(w, http.StatusOK, toStatus(st))
}

// listContracts and listInstances answer from what is in force, so they work while the platform is down.
func (s *Server) listContracts(w http.ResponseWriter, _ *http.Request) {
	st, err := s.cfg.Status()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, ProblemPlatformUnavailable, Response{})
		return
	}
	reply(w, http.StatusOK, toStatus(st).Contracts)
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	st, err := s.cfg.Status()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, ProblemPlatformUnavailable, Response{})
		return
	}
	reply(w, http.StatusOK, toStatus(st).Instances)
}

// readFailed answers a failed read that a change depends on.
func readFailed(w http.ResponseWriter, err error) {
	var missing *stoatpaddle.NotFoundError
	if errors.As(err, &missing) {
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	}
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusServiceUnavailable, ProblemPlatformUnavailable, Response{})
}

func (s *Server) getContract(w http.ResponseWriter, r *http.Request) {
	o, err := s.cfg.Platform.Get(r.Context(), contractRef(r))
	if err != nil {
		readFailed(w, err)
		return
	}
	c, err := stoatcontract.Decode(o.Value)
	if err != nil {
		refuse(w, http.StatusInternalServerError, ProblemInvalidContract, Response{Version: uint64(o.Version)})
		return
	}
	w.Header().Set("ETag", strconv.Quote(o.Version.String()))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, stoatcontract.Format(c, o.Version))
}

// condition reads the version that a change is conditional on; create is version 0.
func condition(r *http.Request) (stoatpaddle.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return stoatpaddle.Version(v), err == nil && v > 0
}

func (s *Server) putContract(w http.ResponseWriter, r *http.Request) {
	base, ok := condition(r)
	if !ok {
		refuse(w, http.StatusPreconditionRequired, ProblemMissingCondition, Response{})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxContract))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, ProblemInvalidContract, Response{})
		return
	}
	name := r.PathValue("name")
	draft, err := stoatcontract.Parse(name, data)
	faults := stoatpaddle.FaultsOf(err)
	if err == nil && string(draft.Contract.Customer) != name {
		faults = []*stoatpaddle.Fault{{File: name, Section: "contract", Key: "customer", Got: string(draft.Contract.Customer), Want: name}}
	}
	if len(faults) > 0 {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidContract, Response{Faults: toFaults(faults)})
		return
	}
	s.accept(w, r, draft.Contract, base)
}

// accept checks the contract against all others and writes it.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, c stoatpaddle.Contract, base stoatpaddle.Version) {
	l, err := s.cfg.Platform.List(r.Context())
	if err != nil {
		readFailed(w, err)
		return
	}
	var others []stoatpaddle.Contract
	var current stoatpaddle.Object
	for _, o := range l.Objects {
		if o.Ref == contractRef(r) {
			current = o
			continue
		}
		if other, err := stoatcontract.Decode(o.Value); o.Ref.Kind == stoatpaddle.ObjectContract && !o.Deleted && err == nil {
			others = append(others, other)
		}
	}
	if faults := stoatcontract.Conflicts(string(c.Customer), c, others); len(faults) > 0 {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidContract, Response{Faults: toFaults(faults)})
		return
	}
	if standing, err := stoatcontract.Decode(current.Value); err == nil && !current.Deleted {
		c = stoatcontract.AddRetired(s.cfg.Clock(), standing, c)
	}
	value, err := stoatcontract.Encode(c)
	if err != nil {
		refuse(w, http.StatusInternalServerError, ProblemInvalidContract, Response{})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: contractRef(r), Version: base, Value: value}, current)
}

func (s *Server) deleteContract(w http.ResponseWriter, r *http.Request) {
	base, ok := condition(r)
	if !ok || base == 0 {
		refuse(w, http.StatusPreconditionRequired, ProblemMissingCondition, Response{})
		return
	}
	current, err := s.cfg.Platform.Get(r.Context(), contractRef(r))
	if err != nil {
		readFailed(w, err)
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: contractRef(r), Version: base, Deleted: true}, current)
}

// write does the conditional write and answers what became of it.
func (s *Server) write(w http.ResponseWriter, r *http.Request, o, current stoatpaddle.Object) {
	own := stoatpaddle.WriteToken(r.Header.Get(HeaderToken))
	if own == "" {
		own = stoatpaddle.WriteToken(uuid.NewString())
	} else if stoatplatform.WrittenBy(current, own) {
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(current.Version), Token: string(own)})
		return
	}
	o.Token = stoatplatform.ChainToken(own, current.Token)
	done, err := s.put(r.Context(), o, own)
	var conflict *stoatpaddle.ConflictError
	switch {
	case err == nil:
		w.Header().Set("ETag", strconv.Quote(done.Version.String()))
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(done.Version), Token: string(own)})
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, ProblemConflict, Response{
			Version: uint64(conflict.Current.Version), Differences: differs(o, conflict.Current),
		})
	default:
		reply(w, http.StatusGatewayTimeout, Response{
			Outcome: OutcomeUnknown, Number: ProblemOutcomeUnknown.Number.String(), Title: ProblemOutcomeUnknown.Title, Token: string(own),
		})
	}
}

func (s *Server) put(ctx context.Context, o stoatpaddle.Object, own stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
	s.mu.Lock()
	rnd := rand.New(rand.NewPCG(s.cfg.Rand.Uint64(), 5))
	s.mu.Unlock()
	writer := &stoatplatform.Writer{Platform: s.cfg.Platform, Rand: rnd}
	return writer.Put(ctx, o, own)
}

func differs(sent, standing stoatpaddle.Object) []string {
	a, errA := stoatcontract.Decode(standing.Value)
	b, errB := stoatcontract.Decode(sent.Value)
	if errA != nil || errB != nil {
		return nil
	}
	return stoatcontract.Diff(a, b)
}

// markInstance marks an instance as joining or leaving.
func (s *Server) markInstance(w http.ResponseWriter, r *http.Request) {
	var m StateChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxContract)).Decode(&m); err != nil {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidState, Response{})
		return
	}
	state := stoatpaddle.InstanceState(m.State)
	if state != stoatpaddle.StateLeaving && state != stoatpaddle.StateJoining {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidState, Response{})
		return
	}
	ref := stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectInstance, Name: r.PathValue("name")}
	current, err := s.cfg.Platform.Get(r.Context(), ref)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		readFailed(w, err)
		return
	}
	i, known := s.instance(ref, current)
	if !known {
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	}
	i.State = state
	value, err := stoatcontract.EncodeInstance(i)
	if err != nil {
		refuse(w, http.StatusInternalServerError, ProblemInvalidState, Response{})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: ref, Version: current.Version, Value: value}, current)
}

// instance returns the instance behind a mark: the object that stands, or an upstream of a contract.
func (s *Server) instance(ref stoatpaddle.ObjectRef, current stoatpaddle.Object) (stoatpaddle.Instance, bool) {
	if i, err := stoatcontract.DecodeInstance(current.Value); current.Version > 0 && err == nil {
		return i, true
	}
	st, err := s.cfg.Status()
	if err != nil {
		return stoatpaddle.Instance{}, false
	}
	for _, u := range st.Upstreams {
		if string(u.ID) == ref.Name {
			return stoatpaddle.Instance{ID: stoatpaddle.InstanceID(u.ID), Role: stoatpaddle.RoleUpstream, DataCentre: u.DataCentre}, true
		}
	}
	return stoatpaddle.Instance{}, false
}
