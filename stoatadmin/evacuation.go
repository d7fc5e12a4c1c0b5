package stoatadmin

import (
	"errors"
	"net/http"

	"github.com/stoatpaddle/stoatpaddle"
)

// evacuate begins the evacuation of a data centre, whose upstreams then get no new flows or calls. A second
// request for the same data centre changes nothing.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request) {
	if !s.isKnownCentre(stoatpaddle.DataCentreID(r.PathValue("name"))) {
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	}
	s.changeEvacuation(w, r, false)
}

func (s *Server) endEvacuation(w http.ResponseWriter, r *http.Request) {
	s.changeEvacuation(w, r, true)
}

// changeEvacuation writes or removes the object of an evacuation.
func (s *Server) changeEvacuation(w http.ResponseWriter, r *http.Request, remove bool) {
	ref := stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectEvacuation, Name: r.PathValue("name")}
	current, err := s.cfg.Platform.Get(r.Context(), ref)
	var missing *stoatpaddle.NotFoundError
	absent := errors.As(err, &missing)
	switch {
	case err != nil && !absent:
		replyReadError(w, err)
		return
	case absent && remove:
		refuse(w, http.StatusNotFound, ProblemNotFound, Response{})
		return
	case !absent && !remove:
		reply(w, http.StatusOK, Response{Outcome: OutcomeAccepted, Version: uint64(current.Version)})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: ref, Version: current.Version, Deleted: remove, Value: []byte("{}")}, current)
}

// isKnownCentre reports whether an entry or an upstream is in the data centre. Without this check a mistyped
// name would be accepted and evacuate nothing.
func (s *Server) isKnownCentre(dc stoatpaddle.DataCentreID) bool {
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
