package stoatplatform

import (
	"encoding/json"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
)

// StoreKind is the one kind of object on the platform under which the system keeps its own: one
// list and one watch show them all at one revision.
const StoreKind = "stoatpaddle"

// nameMark stands between the kind and the name of an object in its name on the platform.
const nameMark = "."

// spec is what the platform keeps of an object. A deleted one stays as a tombstone: whoever
// lists after an outage must see that it is gone, and at which version.
type spec struct {
	Token string          `json:"token,omitempty"`
	Gone  bool            `json:"gone,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

func nameOf(ref stoatpaddle.ObjectRef) string { return string(ref.Kind) + nameMark + ref.Name }

// ToStoreObject maps an object to the platform's.
func ToStoreObject(o stoatpaddle.Object) (platform.Object, error) {
	s := spec{Token: string(o.Token), Gone: o.Deleted}
	if !o.Deleted {
		s.Value = o.Value
	}
	data, err := json.Marshal(s)
	if err != nil {
		return platform.Object{}, &stoatpaddle.DecodeError{What: o.Ref.String(), Cause: err}
	}
	meta := platform.Meta{Name: nameOf(o.Ref), Revision: uint64(o.Version.Position().Revision), Finalizers: []string{}}
	return platform.Object{Meta: meta, Spec: data}, nil
}

// FromStoreObject maps an object of the platform in that era, or returns *stoatpaddle.DecodeError.
func FromStoreObject(p platform.Object, era uint64) (stoatpaddle.Object, error) {
	kind, name, ok := strings.Cut(p.Meta.Name, nameMark)
	var s spec
	if err := json.Unmarshal(p.Spec, &s); err != nil || !ok {
		return stoatpaddle.Object{}, &stoatpaddle.DecodeError{What: "object " + p.Meta.Name, Cause: err}
	}
	return stoatpaddle.Object{
		Ref:     stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectKind(kind), Name: name},
		Version: stoatpaddle.Position{Era: stoatpaddle.Era(era), Revision: stoatpaddle.Version(p.Meta.Revision)}.Version(),
		Token:   stoatpaddle.WriteToken(s.Token), Deleted: s.Gone, Value: s.Value,
	}, nil
}
