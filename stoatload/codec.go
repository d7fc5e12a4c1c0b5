package stoatload

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
)

// Messages are msgpack arrays, so that no field names are sent. They are decoded field by field: the fields that an
// earlier release does not send stay empty, and those that a later one adds are skipped. Figures are sent in
// thousandths as integers, of which the usual ones take one to three bytes.

// wireReport is the wire form of a Report.
type wireReport struct {
	_msgpack struct{} `msgpack:",as_array"`
	Wanted   bool
	Groups   []wireGroup
	Parts    []wirePart
}

// wireExchange is the wire form of an Exchange.
type wireExchange struct {
	_msgpack struct{} `msgpack:",as_array"`
	Centre   string
	Parts    []wirePart
}

// wirePart is the wire form of a Part.
type wirePart struct {
	_msgpack struct{} `msgpack:",as_array"`
	Origin   []byte   // address and port in binary; empty: a whole data centre
	Wanted   bool
	Load     wireCentre
}

// wireCentre is the wire form of a CentreLoad. Its age is sent, since the clocks of two entries may differ.
type wireCentre struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	AgeMS    int64
	Groups   []wireGroup
}

// wireGroup is the wire form of a GroupLoad, whose data centre the message names.
type wireGroup struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Service    string
	Entries    int64
	Answered   int64 // thousandths a second
	Rejected   int64 // thousandths a second
	InProgress int64 // thousandths
	AnswerUS   int64
	UnqueuedUS int64
	Levels     []wireLevel
}

// wireLevel is the wire form of a LevelLoad.
type wireLevel struct {
	_msgpack struct{} `msgpack:",as_array"`
	Priority int64
	Arrived  int64 // thousandths a second
	Admitted int64 // thousandths a second
}

// BoundError reports a received figure or list outside its bounds.
type BoundError struct {
	What  string
	Got   int64
	Limit int64
}

// Error names the figure and its upper bound.
func (e *BoundError) Error() string {
	return fmt.Sprintf("%s is %d, at most %d expected", e.What, e.Got, e.Limit)
}

// EncodeReport returns the wire form of a report.
func EncodeReport(now time.Time, r Report) ([]byte, error) {
	return encodeParts(r.Parts, func(parts []Part) any {
		return &wireReport{Wanted: r.Wanted, Groups: wireGroups(r.Groups), Parts: wireParts(now, parts)}
	})
}

// EncodeExchange returns the wire form of an exchange.
func EncodeExchange(now time.Time, x Exchange) ([]byte, error) {
	return encodeParts(x.Parts, func(parts []Part) any {
		return &wireExchange{Centre: string(x.DataCentre), Parts: wireParts(now, parts)}
	})
}

// encodeParts encodes a message with as many of the parts as fit into MaxMessageBytes.
func encodeParts(parts []Part, message func([]Part) any) ([]byte, error) {
	for {
		data, err := encode(message(parts))
		if err != nil || len(data) <= MaxMessageBytes || len(parts) == 0 {
			return data, err
		}
		parts = parts[:len(parts)-1]
	}
}

// EncodeCentre returns the wire form of the load of one data centre.
func EncodeCentre(now time.Time, c CentreLoad) ([]byte, error) { return encode(wireCentreOf(now, &c)) }

// EncodeCentres returns the wire form of the loads of as many data centres as fit into MaxMessageBytes.
func EncodeCentres(now time.Time, list []CentreLoad) ([]byte, error) {
	for {
		out := make([]wireCentre, 0, len(list))
		for i := range list {
			out = append(out, *wireCentreOf(now, &list[i]))
		}
		data, err := encode(out)
		if err != nil || len(data) <= MaxMessageBytes || len(list) == 0 {
			return data, err
		}
		list = list[:len(list)-1]
	}
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func wireParts(now time.Time, list []Part) []wirePart {
	out := make([]wirePart, 0, len(list))
	for i := range list {
		w := wirePart{Wanted: list[i].Wanted, Load: *wireCentreOf(now, &list[i].Load)}
		if list[i].Origin.IsValid() {
			// The binary form of an address without a zone cannot fail.
			w.Origin, _ = list[i].Origin.MarshalBinary()
		}
		out = append(out, w)
	}
	return out[:min(len(out), MaxParts)]
}

func wireCentreOf(now time.Time, c *CentreLoad) *wireCentre {
	return &wireCentre{Name: string(c.DataCentre), AgeMS: min(max(0, now.Sub(c.At)), maxAge).Milliseconds(), Groups: wireGroups(c.Groups)}
}

func wireGroups(list []GroupLoad) []wireGroup {
	out := make([]wireGroup, 0, len(list))
	for i := range list {
		g := &list[i]
		if len(g.Group.Service) > maxNameBytes || len(out) == MaxGroups {
			continue
		}
		w := wireGroup{
			Service: string(g.Group.Service), Entries: int64(min(max(0, g.Entries), maxEntries)), Answered: thousandths(g.Answered), Rejected: thousandths(g.Rejected),
			InProgress: thousandths(g.InProgress), AnswerUS: microseconds(g.AnswerTime), UnqueuedUS: microseconds(g.Unqueued),
		}
		for _, l := range g.Levels[:min(len(g.Levels), MaxLevels)] {
			if int64(l.Priority) == int64(int32(l.Priority)) {
				w.Levels = append(w.Levels, wireLevel{Priority: int64(l.Priority), Arrived: thousandths(l.Arrived), Admitted: thousandths(l.Admitted)})
			}
		}
		out = append(out, w)
	}
	return out
}

// figureScale is the number of wire units in 1.
const figureScale = 1000

func thousandths(x float64) int64 { return int64(math.Round(bounded(x) * figureScale)) }

func microseconds(d time.Duration) int64 { return min(max(0, d), maxAnswer).Microseconds() }

// DecodeReport decodes a report of an entry of the data centre that was received now, or returns
// *stoatpaddle.DecodeError.
func DecodeReport(now time.Time, dc stoatpaddle.DataCentreID, data []byte) (Report, error) {
	var w wireReport
	if err := decode(data, &w); err != nil {
		return Report{}, &stoatpaddle.DecodeError{What: "a load report", Cause: err}
	}
	return Report{Wanted: w.Wanted, Groups: groupsOf(dc, w.Groups), Parts: partsOf(now, w.Parts)}, nil
}

// DecodeExchange decodes an exchange that was received now, or returns *stoatpaddle.DecodeError.
func DecodeExchange(now time.Time, data []byte) (Exchange, error) {
	var w wireExchange
	if err := decode(data, &w); err != nil {
		return Exchange{}, &stoatpaddle.DecodeError{What: "an exchange of loads", Cause: err}
	}
	return Exchange{DataCentre: stoatpaddle.DataCentreID(w.Centre), Parts: partsOf(now, w.Parts)}, nil
}

// DecodeCentre decodes the load of a data centre that was received now, or returns *stoatpaddle.DecodeError.
func DecodeCentre(now time.Time, data []byte) (CentreLoad, error) {
	var w wireCentre
	if err := decode(data, &w); err != nil {
		return CentreLoad{}, &stoatpaddle.DecodeError{What: "the load of a data centre", Cause: err}
	}
	return centreOf(now, &w), nil
}

// DecodeCentres decodes the loads of data centres that were received now, or returns *stoatpaddle.DecodeError.
func DecodeCentres(now time.Time, data []byte) ([]CentreLoad, error) {
	var list []wireCentre
	read := func(dec *msgpack.Decoder) error { return decodeList(dec, "number of data centres", MaxCentres, &list) }
	if err := decodeWith(data, read); err != nil {
		return nil, &stoatpaddle.DecodeError{What: "the loads of data centres", Cause: err}
	}
	out := make([]CentreLoad, 0, len(list))
	for i := range list {
		out = append(out, centreOf(now, &list[i]))
	}
	return out, nil
}

func partsOf(now time.Time, list []wirePart) []Part {
	out := make([]Part, 0, len(list))
	for i := range list {
		p := Part{Wanted: list[i].Wanted, Load: centreOf(now, &list[i].Load)}
		if len(list[i].Origin) > 0 {
			// The decoder has checked the address.
			_ = p.Origin.UnmarshalBinary(list[i].Origin)
		}
		out = append(out, p)
	}
	return out
}

func centreOf(now time.Time, w *wireCentre) CentreLoad {
	dc := stoatpaddle.DataCentreID(w.Name)
	return CentreLoad{DataCentre: dc, At: now.Add(-time.Duration(w.AgeMS) * time.Millisecond), Groups: groupsOf(dc, w.Groups)}
}

func groupsOf(dc stoatpaddle.DataCentreID, list []wireGroup) []GroupLoad {
	var out []GroupLoad
	for i := range list {
		w := &list[i]
		g := GroupLoad{
			Group: GroupID{Service: stoatpaddle.ServiceID(w.Service), DataCentre: dc}, Entries: int(w.Entries),
			Answered: figure(w.Answered), Rejected: figure(w.Rejected), InProgress: figure(w.InProgress),
			AnswerTime: time.Duration(w.AnswerUS) * time.Microsecond, Unqueued: time.Duration(w.UnqueuedUS) * time.Microsecond,
		}
		for _, l := range w.Levels {
			g.addLevel(LevelLoad{Priority: int(l.Priority), Arrived: figure(l.Arrived), Admitted: figure(l.Admitted)})
		}
		out = append(out, g)
	}
	return sumGroups(out)
}

func figure(w int64) float64 { return float64(w) / figureScale }
