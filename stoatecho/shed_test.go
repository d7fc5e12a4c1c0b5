package stoatecho_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// answer has the caller acknowledge an answer of so many bytes.
func (c *caller) answer(bytes uint32) {
	c.ack += bytes
	c.send(stoatpacket.Packet{Seq: c.seq + 100, Ack: c.ack})
}

// The only upstream is full: it answers what it takes after 0.6 s and turns the rest away at once, with
// an answer that is short. Taken for an answer, that makes the mean that of a calm day, and callers
// whose requests cannot be answered in time go on being let in.
func TestRefusalsAreNoAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		bytes uint32
		want  stoatecho.Verdict
	}{
		"short answers": {150, stoatecho.Reset},
		"whole answers": {1000, stoatecho.Forward},
	} {
		w := newLoneWorld(t, 0)
		w.rev++
		w.book.MarkGone(w.now, "i-3", w.rev)
		for range 20 {
			w.request(feed, 30*ms)
		}
		var slow, turned []*caller
		for range 4 {
			f := w.caller(feed)
			f.open()
			f.ask()
			slow = append(slow, f)
		}
		for range 12 {
			f := w.caller(feed)
			f.open()
			turned = append(turned, f)
		}
		w.after(600 * ms)
		for _, f := range slow[1:] {
			f.answer(1000)
		}
		for _, f := range turned {
			f.ask()
			w.after(4 * ms)
			f.answer(c.bytes)
		}
		if a := w.caller(feed).syn(0); a.Verdict != c.want {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// A route's answers become short for good, as after a new version of its service. They are taken for
// refusals at first, and for answers once they are what is usual.
func TestShortAnswersBecomeUsual(t *testing.T) {
	w := newLoneWorld(t, 0)
	for range 20 {
		w.request(feed, 30*ms)
	}
	f := w.caller(feed)
	f.open()
	for range 4000 {
		f.ask()
		w.after(5 * ms)
		f.answer(150)
	}
	before := w.e.Stats().Rejected
	for range 100 {
		f.ask()
		w.after(5 * ms)
		f.answer(150)
	}
	if after := w.e.Stats().Rejected; after != before || before == 0 {
		t.Error(before, "refusals at first,", after-before, "of the last hundred answers")
	}
}
