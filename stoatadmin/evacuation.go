package stoatadmin

import (
	"errors"
	"net/http"

	"github.com/stoatpaddle/stoatpaddle"
)

// evacuate has the upstreams of a data centre get no new work. Asked twice it is one evacuation.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request) {
	if !s.knowsCentre(stoatpaddle.DataCentreID(r.PathValue("name"))) {
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	}
	s.changeEvacuation(w, r, false)
}

// takeBack ends an evacuation.
func (s *Server) takeBack(w http.ResponseWriter, r *http.Request) { s.changeEvacuation(w, r, true) }

func (s *Server) changeEvacuation(w http.ResponseWriter, r *http.Request, gone bool) {
	ref := stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectEvacuation, Name: r.PathValue("name")}
	current, err := s.cfg.Platform.Get(r.Context(), ref)
	var missing *stoatpaddle.NotFoundError
	absent := errors.As(err, &missing)
	switch {
	case err != nil && !absent:
		readFailed(w, err)
		return
	case absent && gone:
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	case !absent && !gone:
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(current.Version)})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: ref, Version: current.Version, Deleted: gone, Value: []byte("{}")}, current)
}

// knowsCentre tells whether an entry or an upstream is in the data centre: a name that is mistyped would be
// accepted and evacuate nothing.
func (s *Server) knowsCentre(dc stoatpaddle.DataCentreID) bool {
	st, err := s.cfg.Status()
	if err != nil {
		return false
	}
	for _, u := range st.Upstreams {
		if u.DataCentre == dc {
			return true
		}
	}
	for _, i := range st.Instances {
		if i.DataCentre == dc {
			return true
		}
	}
	return false
}
