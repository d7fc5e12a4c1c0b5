package stoatevent_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// Nobody reads the log. The writer never waits; what does not fit is counted.
func TestPipeNeverBlocks(t *testing.T) {
	p := stoatevent.NewAsyncWriter()
	for range 3000 {
		if n, err := p.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if p.Dropped() != 3000-1024 {
		t.Error(p.Dropped())
	}
	var out bytes.Buffer
	p.Close()
	if err := p.Run(&out); err != nil || out.Len() != 1024*5 {
		t.Error(out.Len(), err)
	}
}

// A flood of one event: so many lines a second, the rest is counted; another event without
// a bound is never left out.
func TestSampler(t *testing.T) {
	flood := &stoatevent.Definition{Number: 9001}
	state := &stoatevent.Definition{Number: 9002}
	s := stoatevent.NewSampler(map[stoatevent.Number]int{9001: 5})
	now := time.Unix(1000, 0)
	for range 100 {
		s.Allow(now, flood)
		if !s.Allow(now, state) {
			t.Fatal("a change of state was left out")
		}
	}
	if got := s.TakeOmitted(); len(got) != 1 || got[0] != (stoatevent.OmittedLines{Number: 9001, Count: 95}) {
		t.Error(got)
	}
	if len(s.TakeOmitted()) != 0 || len(s.TotalOmitted()) != 1 {
		t.Error("counted twice, or forgotten")
	}
	if !s.Allow(now.Add(time.Second), flood) {
		t.Error("left out in the next second")
	}
}
