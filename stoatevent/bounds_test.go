package stoatevent_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// Nobody reads the log. Write must not block, and the lines that do not fit into the queue must be counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := stoatevent.NewAsyncWriter()
	for range 3000 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() != 3000-1024 {
		t.Error(w.Dropped())
	}
	var out bytes.Buffer
	w.Close()
	if err := w.Run(&out); err != nil || out.Len() != 1024*5 {
		t.Error(out.Len(), err)
	}
}

// One event occurs far more often than its limit of lines a second. The lines over the limit must be counted,
// and an event without a limit must never be omitted.
func TestSampler(t *testing.T) {
	limited := &stoatevent.Definition{Number: 9001}
	unlimited := &stoatevent.Definition{Number: 9002}
	s := stoatevent.NewSampler(map[stoatevent.Number]int{9001: 5})
	now := time.Unix(1000, 0)
	for range 100 {
		s.Allow(now, limited)
		if !s.Allow(now, unlimited) {
			t.Fatal("an event without a limit was omitted")
		}
	}
	if got := s.TakeOmitted(); len(got) != 1 || got[0] != (stoatevent.OmittedLines{Number: 9001, Count: 95}) {
		t.Error(got)
	}
	if len(s.TakeOmitted()) != 0 || len(s.TotalOmitted()) != 1 {
		t.Error("TakeOmitted returned a line twice, or TotalOmitted lost it")
	}
	if !s.Allow(now.Add(time.Second), limited) {
		t.Error("omitted in the next second")
	}
}
