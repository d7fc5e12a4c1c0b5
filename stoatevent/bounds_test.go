package stoatevent_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// Nobody reads the log. The writer never waits; what does not fit is counted.
func TestPipeNeverBlocks(t *testing.T) {
	p := stoatevent.NewPipe()
	for range 3000 {
		if n, err := p.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if p.Lost() != 3000-1024 {
		t.Error(p.Lost())
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
	limited := &stoatevent.Entry{Number: 9001}
	unlimited := &stoatevent.Entry{Number: 9002}
	s := stoatevent.NewSampler(map[stoatevent.Number]int{9001: 5})
	now := time.Unix(1000, 0)
	for range 100 {
		s.Admit(now, limited)
		if !s.Admit(now, unlimited) {
			t.Fatal("a change of state was left out")
		}
	}
	if got := s.Take(); len(got) != 1 || got[0] != (stoatevent.LeftOut{Number: 9001, Count: 95}) {
		t.Error(got)
	}
	if len(s.Take()) != 0 || len(s.Total()) != 1 {
		t.Error("counted twice, or forgotten")
	}
	if !s.Admit(now.Add(time.Second), limited) {
		t.Error("left out in the next second")
	}
}
