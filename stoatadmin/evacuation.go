package stoatadmin

import (
	"errors"
	"net/http"

	"github.com/stoatpaddle/stoatpaddle"
)

// evacuate has the upstreams of a data centre get no new work. Asked twice it is one evacuation.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request) {
	if !s.isKnownCentre(stoatpaddle.DataCentreID(r.PathValue("name"))) {
		refuse(w, http.StatusNotFound, FaultMissing, Answer{})
		return
	}
	s.changeEvacuation(w, r, false)
}

// endEvacuation ends an evacuation.
func (s *Server) endEvacuation(w http.ResponseWriter, r *http.Request) {
	s.changeEvacuation(w, r, true)
}

func (s *Server) changeEvacuation(w http.ResponseWriter, r *http.Request, remove bool) {
	ref := stoatpaddle.Ref{Kind: stoatpaddle.ObjectEvacuation, Name: r.PathValue("name")}
	current, err := s.cfg.Platform.Get(r.Context(), ref)
	var missing *stoatpaddle.NotFoundError
	absent := errors.As(err, &missing)
	switch {
	case err != nil && !absent:
		replyReadError(w, err)
		return
	case absent && remove:
		refuse(w, http.StatusNotFound, FaultMissing, Answer{})
		return
	case !absent && !remove:
		reply(w, http.StatusOK, Answer{Outcome: Accepted, Version: uint64(current.Version)})
		return
	}
	s.write(w, r, stoatpaddle.Object{Ref: ref, Version: current.Version, Gone: remove, Value: []byte("{}")}, current)
}

// isKnownCentre tells whether an entry or an upstream is in the data centre: a name that is mistyped would be
// accepted and evacuate nothing.
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
