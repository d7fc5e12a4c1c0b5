package stoatedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/goccy/go-json"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Which services routes had before is kept at the platform: the configuration says what they have now, and after a
// power loss of all entries nobody else knows. Flows at the service before would be taken for forged.

// formerRef names the object.
var formerRef = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectFormerServices, Name: "former"}

const (
	// rememberWithin spreads the seeds, of which the first one writes and the others find it done.
	rememberWithin = time.Second
	// rememberTries bounds how often one tries, and recallTimeout how long an answer may take.
	rememberTries = 5
	recallTimeout = 2 * time.Second
)

// wireFormer is the object's value. Version is of the configuration by which it was made.
type wireFormer struct {
	Version uint64        `json:"version"`
	Routes  []wireService `json:"routes"`
}

type wireService struct {
	Listen  string `json:"listen"`
	Service string `json:"service"`
	UntilMS int64  `json:"until"` // Unix ms by the writer's clock
}

func encodeFormer(x remember) ([]byte, error) {
	w := wireFormer{Version: uint64(x.version)}
	for _, f := range x.former {
		w.Routes = append(w.Routes, wireService{Listen: f.Listen.String(), Service: string(f.Service), UntilMS: f.Until.UnixMilli()})
	}
	return json.Marshal(w)
}

// decodeFormer reads the object's value, or returns *stoatpaddle.DecodeError.
func decodeFormer(value []byte) (remember, error) {
	var w wireFormer
	if err := json.Unmarshal(value, &w); err != nil {
		return remember{}, &stoatpaddle.DecodeError{What: formerRef.String(), Cause: err}
	}
	x := remember{version: stoatpaddle.Version(w.Version)}
	for _, r := range w.Routes {
		listen, err := netip.ParseAddrPort(r.Listen)
		if err != nil {
			return remember{}, &stoatpaddle.DecodeError{What: formerRef.String(), Cause: err}
		}
		x.former = append(x.former, stoatroute.FormerService{Listen: listen, Service: stoatpaddle.ServiceID(r.Service), Until: time.UnixMilli(r.UntilMS)})
	}
	return x, nil
}

// recallFormer reads what was kept. A replica will do: what it lacks is some seconds old, and other entries
// that were there say it.
func (e *Edge) recallFormer() {
	ctx, cancel := context.WithTimeout(e.ctx, recallTimeout)
	defer cancel()
	x, err := e.readFormer(ctx)
	if err != nil {
		e.log.emit(clock(), EventFormerLoadFailed, stoatevent.F("cause", err.Error()))
		return
	}
	if len(x.former) > 0 {
		e.post(recalled{former: x.former})
	}
}

// readFormer returns what a replica has; nothing where there is no such object.
func (e *Edge) readFormer(ctx context.Context) (remember, error) {
	answer, err := e.store.Read(ctx, platform.Query{Kind: stoatplatform.StoreKind, AllowStale: true})
	if err != nil {
		return remember{}, err
	}
	for _, item := range answer.Items {
		o, err := stoatplatform.FromStoreObject(item, answer.Era)
		if err != nil || o.Ref != formerRef {
			continue
		}
		return decodeFormer(o.Value)
	}
	return remember{}, nil
}

// rememberFormer keeps which services routes had, unless another entry did so of as late a configuration.
func (e *Edge) rememberFormer(x remember) {
	client := stoatplatform.New(stoatplatform.Config{Addr: e.settings().PlatformAddr})
	var err error
	for range rememberTries {
		if !stoatplatform.Sleep(e.ctx, time.Duration(rand.Int64N(int64(rememberWithin)))) {
			return
		}
		if err = writeFormer(e.ctx, client, x); err == nil {
			return
		}
	}
	e.log.emit(clock(), EventFormerSaveFailed, stoatevent.F("version", x.version.String()), stoatevent.F("cause", err.Error()))
}

func writeFormer(ctx context.Context, p stoatpaddle.Platform, x remember) error {
	standing, err := p.Get(ctx, formerRef)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil {
		if kept, err := decodeFormer(standing.Value); err == nil && kept.version >= x.version {
			return nil
		}
	}
	value, err := encodeFormer(x)
	if err != nil {
		return err
	}
	_, err = p.Put(ctx, stoatpaddle.Object{Ref: formerRef, Version: standing.Version, Value: value})
	return err
}
