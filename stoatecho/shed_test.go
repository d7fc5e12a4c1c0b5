package stoatecho_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// ackBytes has the caller acknowledge an ackBytes of so many bytes.
func (c *caller) ackBytes(bytes uint32) {
	c.ack += bytes
	c.send(stoatpacket.Packet{Seq: c.seq + 100, Ack: c.ack})
}

// The only upstream is full: it answers what it takes after 0.6 s and turns the rest away at once, with
// an answer that is short. Taken for an answer, that makes the mean that of a calm day, and callers
// whose requests cannot be answered in time go on being let in.
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
		w.book.Remove(w.now, "i-3", w.rev)
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

// A route's answers become short for good, as after a new version of its service. They are taken for
// refusals at first, and for answers once they are what is usual.
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
	before := w.e.Stats().TurnedAway
	for range 100 {
		f.sendRequest()
		w.after(5 * ms)
		f.ackBytes(150)
	}
	if after := w.e.Stats().TurnedAway; after != before || before == 0 {
		t.Error(before, "refusals at first,", after-before, "of the last hundred answers")
	}
}
