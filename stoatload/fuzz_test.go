package stoatload

import (
	"math"
	"testing"
)

// Whatever bytes come from another process, decoding them must end, every figure that is accepted must be within its
// bounds, and what is accepted must be readable for the next entry.
func FuzzDecode(f *testing.F) {
	agg := newAggregator(1, "here")
	agg.SetTopmost(true)
	agg.SetOwn(start, contended("here", 10))
	agg.HandleExchange(start, Exchange{DataCentre: "there", Parts: []Part{{Origin: addrOf(3), Load: CentreLoad{DataCentre: "there", At: start, Groups: calm("there", 5)}}}}, true)
	report, err := EncodeReport(start, agg.Report(start))
	if err != nil {
		f.Fatal(err)
	}
	exchange, err := EncodeExchange(start, agg.Exchange(start, addrOf(2), true))
	if err != nil {
		f.Fatal(err)
	}
	centres, err := EncodeCentres(start, agg.Centres(start))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{report, exchange, centres, report[:len(report)/2], {0xc0}, {0x93, 0xc3, 0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeReport(start, "here", data); err == nil {
			checkReport(t, r)
		}
		if x, err := DecodeExchange(start, data); err == nil {
			checkParts(t, x.Parts)
		}
		if c, err := DecodeCentre(start, data); err == nil {
			checkGroups(t, c.Groups)
		}
		if list, err := DecodeCentres(start, data); err == nil {
			for i := range list {
				checkGroups(t, list[i].Groups)
			}
		}
	})
}

func checkReport(t *testing.T, r Report) {
	checkGroups(t, r.Groups)
	checkParts(t, r.Parts)
	agg := newAggregator(1, "here")
	agg.SetTopmost(true)
	agg.HandleChild(start, addrOf(2), r)
	again, err := EncodeReport(start, agg.Report(start))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeReport(start, "here", again); err != nil {
		t.Fatal("accepted data cannot be passed on:", err)
	}
}

func checkParts(t *testing.T, parts []Part) {
	if len(parts) > MaxParts {
		t.Fatal(len(parts))
	}
	for i := range parts {
		if parts[i].Load.At.After(start) {
			t.Fatal("a load from the future")
		}
		checkGroups(t, parts[i].Load.Groups)
	}
}

func checkGroups(t *testing.T, groups []GroupLoad) {
	if len(groups) > MaxGroups {
		t.Fatal(len(groups))
	}
	for i := range groups {
		g := &groups[i]
		if len(g.Levels) > MaxLevels || g.Entries < 0 || g.AnswerTime < 0 || g.Unqueued < 0 {
			t.Fatalf("%+v", g)
		}
		figures := []float64{g.Answered, g.Rejected, g.InProgress}
		for _, l := range g.Levels {
			figures = append(figures, l.Arrived, l.Admitted)
		}
		for _, x := range figures {
			// A message may name a group, or a level, several times.
			if math.IsNaN(x) || x < 0 || x > maxFigure*MaxGroups*MaxLevels {
				t.Fatalf("%+v", g)
			}
		}
	}
}
