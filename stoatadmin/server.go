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
	Rand     *rand.Rand // seeds the jitter of the delays between retries of a write
}

// Server serves the administration API; it implements http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux
	mu  sync.Mutex // guards cfg.Rand
}

// maxContractBytes is the largest request body: the platform stores values of up to a megabyte.
const maxContractBytes = 1 << 20

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/contracts", s.listContracts)
	s.mux.HandleFunc("GET /v1/contracts/{name}", s.getContract)
	s.mux.HandleFunc("PUT /v1/contracts/{name}", s.putContract)
	s.mux.HandleFunc("DELETE /v1/contracts/{name}", s.deleteContract)
	s.mux.HandleFunc("GET /v1/instances", s.listInstances)
	s.mux.HandleFunc("PUT /v1/instances/{name}", s.setInstanceState)
	s.mux.HandleFunc("PUT /v1/evacuations/{name}", s.evacuate)
	s.mux.HandleFunc("DELETE /v1/evacuations/{name}", s.endEvacuation)
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

// refuse replies that the change or the read was refused, with the number and title of a catalogue entry.
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

// listContracts, like listInstances, answers from the entry's own state, so both work while the platform is
// down.
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

// replyReadError replies to a request that needs an object or a list that the platform did not return.
func replyReadError(w http.ResponseWriter, err error) {
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
		replyReadError(w, err)
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

// parseCondition returns the version on which a change is conditional; 0 means that the object must not exist
// yet. It returns false if the request has no valid condition.
func parseCondition(r *http.Request) (stoatpaddle.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return stoatpaddle.Version(v), err == nil && v > 0
}

func (s *Server) putContract(w http.ResponseWriter, r *http.Request) {
	base, ok := parseCondition(r)
	if !ok {
		refuse(w, http.StatusPreconditionRequired, ProblemMissingCondition, Response{})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxContractBytes))
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
	s.applyContract(w, r, draft.Contract, base)
}

// applyContract checks the contract against all others and writes it. Upstreams that the change removes stay
// in the stored contract as retired, because flows may still be open on them.
func (s *Server) applyContract(w http.ResponseWriter, r *http.Request, c stoatpaddle.Contract, base stoatpaddle.Version) {
	listing, err := s.cfg.Platform.List(r.Context())
	if err != nil {
		replyReadError(w, err)
		return
	}
	var others []stoatpaddle.Contract
	var current stoatpaddle.Object
	for _, o := range listing.Objects {
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
	if stored, err := stoatcontract.Decode(current.Value); err == nil && !current.Deleted {
		c = stoatcontract.AddRetired(s.cfg.Clock(), stored, c)
	}
	value, err := stoatcontract.Encode(c)
	if err != nil {
		refuse(w, http.StatusInternalServerError, ProblemInvalidContract, Response{})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: contractRef(r), Version: base, Value: value}, current)
}

func (s *Server) deleteContract(w http.ResponseWriter, r *http.Request) {
	base, ok := parseCondition(r)
	if !ok || base == 0 {
		refuse(w, http.StatusPreconditionRequired, ProblemMissingCondition, Response{})
		return
	}
	current, err := s.cfg.Platform.Get(r.Context(), contractRef(r))
	if err != nil {
		replyReadError(w, err)
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: contractRef(r), Version: base, Deleted: true}, current)
}

// write does a conditional write and replies with its outcome. If the request's token shows that an earlier
// attempt has taken effect, write replies that the change was accepted and writes nothing.
func (s *Server) write(w http.ResponseWriter, r *http.Request, o, current stoatpaddle.Object) {
	token := stoatpaddle.WriteToken(r.Header.Get(HeaderToken))
	if token == "" {
		token = stoatpaddle.WriteToken(uuid.NewString())
	} else if stoatplatform.WrittenBy(current, token) {
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(current.Version), Token: string(token)})
		return
	}
	o.Token = stoatplatform.ChainToken(token, current.Token)
	written, err := s.put(r.Context(), o, token)
	var conflict *stoatpaddle.ConflictError
	switch {
	case err == nil:
		w.Header().Set("ETag", strconv.Quote(written.Version.String()))
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(written.Version), Token: string(token)})
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, ProblemConflict, Response{
			Version: uint64(conflict.Current.Version), Differences: differences(o, conflict.Current),
		})
	default:
		reply(w, http.StatusGatewayTimeout, Response{
			Outcome: OutcomeUnknown, Number: ProblemOutcomeUnknown.Number.String(), Title: ProblemOutcomeUnknown.Title, Token: string(token),
		})
	}
}

func (s *Server) put(ctx context.Context, o stoatpaddle.Object, token stoatpaddle.WriteToken) (stoatpaddle.Object, error) {
	s.mu.Lock()
	rnd := rand.New(rand.NewPCG(s.cfg.Rand.Uint64(), 5))
	s.mu.Unlock()
	writer := &stoatplatform.Writer{Platform: s.cfg.Platform, Rand: rnd}
	return writer.Put(ctx, o, token)
}

// differences lists how the contract that was sent differs from the stored one; it is empty for other objects.
func differences(sent, stored stoatpaddle.Object) []string {
	old, errOld := stoatcontract.Decode(stored.Value)
	amended, errAmended := stoatcontract.Decode(sent.Value)
	if errOld != nil || errAmended != nil {
		return nil
	}
	return stoatcontract.Diff(old, amended)
}

// setInstanceState sets the state of an instance to joining or leaving.
func (s *Server) setInstanceState(w http.ResponseWriter, r *http.Request) {
	var body StateChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxContractBytes)).Decode(&body); err != nil {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidState, Response{})
		return
	}
	state := stoatpaddle.InstanceState(body.State)
	if state != stoatpaddle.StateLeaving && state != stoatpaddle.StateJoining {
		refuse(w, http.StatusUnprocessableEntity, ProblemInvalidState, Response{})
		return
	}
	ref := stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectInstance, Name: r.PathValue("name")}
	current, err := s.cfg.Platform.Get(r.Context(), ref)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		replyReadError(w, err)
		return
	}
	instance, found := s.findInstance(ref, current)
	if !found {
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	}
	instance.State = state
	value, err := stoatcontract.EncodeInstance(instance)
	if err != nil {
		refuse(w, http.StatusInternalServerError, ProblemInvalidState, Response{})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: ref, Version: current.Version, Value: value}, current)
}

// findInstance returns the instance that ref names: the stored object, or else an upstream that a contract
// declares.
func (s *Server) findInstance(ref stoatpaddle.ObjectRef, stored stoatpaddle.Object) (stoatpaddle.Instance, bool) {
	if i, err := stoatcontract.DecodeInstance(stored.Value); stored.Version > 0 && err == nil {
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
