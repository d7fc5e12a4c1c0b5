package stoatplatform

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
)

// StoreKind is the kind of all objects that the system keeps on the platform. With a single kind, one list and
// one watch return all of them at one revision.
const StoreKind = "stoatpaddle"

// nameSeparator separates the kind and the name in the platform's name of an object.
const nameSeparator = "."

// spec is the content of an object on the platform. A deleted object stays as a tombstone, so that a list
// after an outage shows that the object is gone, and at which version it was deleted.
type spec struct {
	Token string          `json:"token,omitempty"`
	Gone  bool            `json:"gone,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

func objectName(ref stoatpaddle.ObjectRef) string { return string(ref.Kind) + nameSeparator + ref.Name }

// ToStoreObject converts an object to one of the platform.
func ToStoreObject(o stoatpaddle.Object) (platform.Object, error) {
	s := spec{Token: string(o.Token), Gone: o.Deleted}
	if !o.Deleted {
		s.Value = o.Value
	}
	data, err := json.Marshal(s)
	if err != nil {
		return platform.Object{}, &stoatpaddle.DecodeError{What: o.Ref.String(), Cause: err}
	}
	meta := platform.Meta{Name: objectName(o.Ref), Revision: uint64(o.Version.Position().Revision), Finalizers: []string{}}
	return platform.Object{Meta: meta, Spec: data}, nil
}

// nameError reports an object whose name is not one of the system's.
type nameError struct{ name string }

// Error names the object.
func (e *nameError) Error() string {
	return strconv.Quote(e.name[:min(len(e.name), maxNameText)]) + " is not a kind and a name"
}

// maxNameText limits the bytes of a name in an error.
const maxNameText = 80

// FromStoreObject converts an object of the platform, read in the given era, or returns *stoatpaddle.DecodeError if its
// name is not one of the system's. An object whose content cannot be read has no value: its version is known, and whoever
// decodes the value reports the fault.
func FromStoreObject(p platform.Object, era uint64) (stoatpaddle.Object, error) {
	kind, name, ok := strings.Cut(p.Meta.Name, nameSeparator)
	if !ok {
		var cause error = &nameError{name: p.Meta.Name}
		if p.DecodeErr != nil {
			cause = p.DecodeErr
		}
		return stoatpaddle.Object{}, &stoatpaddle.DecodeError{What: "an object of kind " + StoreKind, Cause: cause}
	}
	var s spec
	if p.DecodeErr != nil || json.Unmarshal(p.Spec, &s) != nil {
		s = spec{}
	}
	return stoatpaddle.Object{
		Ref:     stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectKind(kind), Name: name},
		Version: stoatpaddle.Position{Era: stoatpaddle.Era(era), Revision: stoatpaddle.Version(p.Meta.Revision)}.Version(),
		Token:   stoatpaddle.WriteToken(s.Token), Deleted: s.Gone, Value: s.Value,
	}, nil
}
