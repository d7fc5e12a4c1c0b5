package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// ackBytes acknowledges an answer of the given size.
func (c *caller) ackBytes(bytes uint32) {
	c.ack += bytes
	c.send(stoatpacket.Packet{Seq: c.seq + 100, Ack: c.ack})
}

// The only upstream is full: it answers what it accepts after 0.6 s and rejects the rest at once with a short
// answer. If rejections counted as answers, the mean would be as low as on a quiet day, and openings would be
// admitted whose requests cannot be answered in time.
func TestRejectionsAreNotAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		bytes uint32
		want  stoatecho.Verdict
	}{
		"short answers": {150, stoatecho.Reset},
		"whole answers": {1000, stoatecho.Forward},
	} {
		w := newSingleUpstreamWorld(t, 0)
		w.rev++
		w.builder.MarkGone(w.now, "i-3", w.rev)
		for range 20 {
			w.request(idempotentAddr, 30*ms)
		}
		var slow, rejected []*caller
		for range 4 {
			f := w.caller(idempotentAddr)
			f.open()
			f.sendRequest()
			slow = append(slow, f)
		}
		for range 12 {
			f := w.caller(idempotentAddr)
			f.open()
			rejected = append(rejected, f)
		}
		w.after(600 * ms)
		for _, f := range slow[1:] {
			f.ackBytes(1000)
		}
		for _, f := range rejected {
			f.sendRequest()
			w.after(4 * ms)
			f.ackBytes(c.bytes)
		}
		if a := w.caller(idempotentAddr).syn(0); a.Verdict != c.want {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// A route's answers become short for good, as after a new version of its service. They count as rejections at
// first, and as answers once they are usual.
func TestShortAnswersBecomeUsual(t *testing.T) {
	w := newSingleUpstreamWorld(t, 0)
	for range 20 {
		w.request(idempotentAddr, 30*ms)
	}
	f := w.caller(idempotentAddr)
	f.open()
	for range 4000 {
		f.sendRequest()
		w.after(5 * ms)
		f.ackBytes(150)
	}
	before := w.e.Stats().Rejected
	for range 100 {
		f.sendRequest()
		w.after(5 * ms)
		f.ackBytes(150)
	}
	if after := w.e.Stats().Rejected; after != before || before == 0 {
		t.Error(before, "rejections at first,", after-before, "of the last hundred answers")
	}
}

// On a flow that has just opened, a full upstream rejects the request only after as long as an answer takes. If such
// rejections counted as answers, a full upstream would not be seen as full by what it does with new flows.
func TestSlowRejectionsAreRecognisedBySize(t *testing.T) {
	for name, c := range map[string]struct {
		quick, slow uint32 // sizes in bytes
		want        int64
	}{
		"the size of earlier rejections": {126, 126, 12},
		"another size":                   {126, 150, 2},
	} {
		w := newSingleUpstreamWorld(t, 0)
		// The objective is so long, and the route so urgent, that no opening is refused.
		w.declareObjectives(20 * time.Second)
		for range 20 {
			w.request(nonIdempotentAddr, 30*ms)
		}
		reject := func(took time.Duration, bytes uint32) {
			f := w.caller(nonIdempotentAddr)
			f.open()
			f.sendRequest()
			w.after(took)
			f.ackBytes(bytes)
		}
		for range 2 {
			reject(5*ms, c.quick)
		}
		for range 10 {
			reject(150*ms, c.slow)
		}
		if n := w.e.Stats().Rejected; n != c.want {
			t.Errorf("%s: %d rejections, expected %d", name, n, c.want)
		}
	}
}
