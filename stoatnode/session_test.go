package stoatnode

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatgolden"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// TestSessions replays the golden sessions under testdata. A session is a text file with a line
// "@TIME event words" for each event, each followed by a line "  > effect" for each effect.
// STOATPADDLE_UPDATE=1 rewrites the lines of the effects.
func TestSessions(t *testing.T) { stoatgolden.Run(t, replay) }

var epoch = time.Unix(0, 0)

func testInstance(id string, state stoatpaddle.InstanceState, incarnation int) stoatpaddle.Instance {
	port := uint16(1000 + 10*int(id[len(id)-1]-'0') + int(id[0]))
	addr := func(n uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port+n)
	}
	return stoatpaddle.Instance{
		ID: stoatpaddle.InstanceID(id), Role: stoatpaddle.RoleEntry, DataCentre: stoatpaddle.DataCentreID(id[:1]),
		State: state, Incarnation: stoatpaddle.Incarnation(incarnation), Relay: addr(1), Peer: addr(2), Admin: addr(3),
	}
}

func replay(t *testing.T, text string) string {
	n := New(Config{Self: testInstance("a1", stoatpaddle.StateLive, 1), Cluster: "test", RandomSeed: 1, StopDeadline: 10 * time.Second})
	var out strings.Builder
	var now time.Duration
	write := func(line string) { fmt.Fprintln(&out, line) }
	stoatgolden.ForEachEvent(t, text, write, func(until time.Duration, words []string) {
		if words[0] == "ticks" {
			for now+TickInterval <= until {
				now += TickInterval
				writeEffects(&out, now, n.Step(epoch.Add(now), Ticked{}))
			}
			return
		}
		now = until
		writeEffects(&out, now, n.Step(epoch.Add(now), readEvent(t, words)))
	})
	return out.String()
}

func readEvent(t *testing.T, f []string) Event {
	switch f[0] {
	case "started":
		return Started{}
	case "listed", "watched":
		l := stoatpaddle.Listing{Revision: readVersion(t, f[1]), Objects: readObjects(t, f[2:])}
		if f[0] == "listed" {
			return Listed{Listing: l}
		}
		return Watched{Listing: l}
	case "failed":
		return PlatformFailed{Cause: "test"}
	case "forgotten":
		return PlatformFailed{Cause: "test", HistoryGone: true}
	case "connected":
		return Connected{Hello: stoatmessage.Hello{Cluster: "test", Instance: testInstance(f[1], stoatpaddle.InstanceState(f[2]), 1)}}
	case "disconnected":
		return Disconnected{Peer: stoatpaddle.InstanceID(f[1])}
	case "beat":
		return Received{From: stoatpaddle.InstanceID(f[1]), Message: &stoatmessage.Heartbeat{State: stoatpaddle.InstanceState(f[2])}}
	case "have":
		m := &stoatmessage.Have{}
		for _, o := range readObjects(t, f[2:]) {
			m.Objects = append(m.Objects, stoatmessage.ObjectVersion{Ref: o.Ref, Version: o.Version})
		}
		return Received{From: stoatpaddle.InstanceID(f[1]), Message: m}
	case "objects":
		return Received{From: stoatpaddle.InstanceID(f[1]), Message: &stoatmessage.Objects{Objects: readObjects(t, f[2:])}}
	case "ticked":
		return Ticked{}
	case "stop":
		return StopRequested{}
	case "handed":
		calls, _ := strconv.Atoi(f[1])
		return FlowsHandedOver{OpenCalls: calls}
	}
	t.Fatal("no such event", f)
	return nil
}

// readVersion parses a revision, or an era and a revision as in 2/20.
func readVersion(t *testing.T, text string) stoatpaddle.Version {
	var p stoatpaddle.Position
	era, revision, ok := strings.Cut(text, "/")
	if !ok {
		era, revision = "1", text
	}
	e, err := strconv.Atoi(era)
	if err != nil {
		t.Fatal(text, err)
	}
	r, err := strconv.Atoi(revision)
	if err != nil {
		t.Fatal(text, err)
	}
	p.Era, p.Revision = stoatpaddle.Era(e), stoatpaddle.Version(r)
	return p.Version()
}

// readObjects parses words such as seed@1, contract/sawt@5, instance/b1@3=live and contract/sawt@2/9~b,a,
// which is at revision 9 of era 2 and was written with token b on top of token a.
func readObjects(t *testing.T, words []string) []stoatpaddle.Object {
	var out []stoatpaddle.Object
	for _, w := range words {
		w, value, _ := strings.Cut(w, "=")
		w, token, _ := strings.Cut(w, "~")
		name, version, _ := strings.Cut(w, "@")
		o := stoatpaddle.Object{Version: readVersion(t, version), Token: stoatpaddle.WriteToken(token), Deleted: value == "gone"}
		kind, id, _ := strings.Cut(name, "/")
		o.Ref = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectKind(kind), Name: id}
		switch kind {
		case "seed":
			o.Ref, o.Value = HashKeyRef, []byte(`"000102030405060708090a0b0c0d0e0f"`)
		case "contract":
			o.Value = testContract(t, id, int(o.Version.Position().Revision), value)
		case "instance":
			o.Value = testInstanceObject(t, id, value)
		}
		out = append(out, o)
	}
	return out
}

// testContract returns a contract with two upstreams, whose limit of flows is the version.
func testContract(t *testing.T, customer string, version int, value string) []byte {
	if value == "broken" {
		return []byte(`{"customer": 7}`)
	}
	addr := netip.MustParseAddr("203.0.113.1")
	if value != "same" {
		addr = netip.AddrFrom4([4]byte{203, 0, 113, customer[0]})
	}
	c := stoatpaddle.Contract{
		Customer: stoatpaddle.CustomerID(customer), Preference: stoatpaddle.PreferFewTracked,
		Limits: stoatpaddle.Limits{Flows: version, OpenRate: 10, Calls: 10, CallRate: 10},
		Services: []stoatpaddle.Service{{
			ID: "web", Kind: stoatpaddle.KindFlow, Addr: addr, Protocol: stoatpaddle.ProtocolTCP, Ports: []uint16{443},
		}},
	}
	for i, dc := range []stoatpaddle.DataCentreID{"a", "b"} {
		c.Services[0].Upstreams = append(c.Services[0].Upstreams, stoatpaddle.Upstream{
			ID: stoatpaddle.UpstreamID(customer + "-" + string(dc)), DataCentre: dc, Weight: 1, Slots: 3, MaxFlows: 10,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, customer[0], byte(i + 1)}), 6080),
		})
	}
	data, err := stoatcontract.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func testInstanceObject(t *testing.T, id, value string) []byte {
	i := testInstance(id+"0", stoatpaddle.InstanceState(value), 1)
	i.ID = stoatpaddle.InstanceID(id)
	if strings.Contains(id, "-") {
		i = stoatpaddle.Instance{ID: i.ID, Role: stoatpaddle.RoleUpstream, State: stoatpaddle.InstanceState(value)}
	} else {
		i = testInstance(id, stoatpaddle.InstanceState(value), 1)
	}
	data, err := stoatcontract.EncodeInstance(i)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writeEffects writes a line for each effect. It omits heartbeats, dials, resynchronizations and flow records.
func writeEffects(out *strings.Builder, now time.Duration, effects []Effect) {
	for _, e := range effects {
		if text := describe(e); text != "" {
			fmt.Fprintf(out, "  > %s %s\n", now, text)
		}
	}
}

func describe(e Effect) string {
	switch e := e.(type) {
	case Publish:
		text := "publish entries"
		for _, m := range e.View.Entries.Members {
			text += " " + string(m.ID)
		}
		for _, s := range e.View.Services {
			text += fmt.Sprintf("; %s flows=%d upstreams", s.Ref, s.Limits.Flows)
			for _, u := range s.Active {
				text += " " + string(u.ID)
			}
		}
		return text
	case Send:
		return describeMessage(string(e.To), e.Message)
	case Log:
		text := "log " + e.Definition.Number.String() + " " + e.Definition.Title
		for _, f := range e.Fields {
			text += " " + f.Key + "=" + f.Value
		}
		return text
	case Dial, Resync, DeliverFlows:
		return ""
	case List:
		return "list" + pauseSuffix(e.Delay)
	case Watch:
		return "watch from " + e.From.String() + pauseSuffix(e.Delay)
	case Register:
		return "register " + string(e.Instance.State)
	case Rewrite:
		return "write again " + e.Object.Ref.String() + " on top of " + e.Object.Version.Position().String()
	case Disconnect:
		return "hang up " + string(e.Peer)
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e), "stoatnode."))
	}
}

func pauseSuffix(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return " after a pause"
}

func describeMessage(to string, m stoatmessage.Message) string {
	switch m := m.(type) {
	case *stoatmessage.Have:
		text := "tell " + to + " have"
		for _, h := range m.Objects {
			text += " " + h.Ref.String() + "@" + h.Version.String()
		}
		return text
	case *stoatmessage.Want:
		text := "ask " + to + " for"
		for _, r := range m.Refs {
			text += " " + r.String()
		}
		return text
	case *stoatmessage.Objects:
		return fmt.Sprintf("give %s %d objects", to, len(m.Objects))
	default:
		return ""
	}
}
