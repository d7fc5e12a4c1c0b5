package stoatload

import (
	"testing"
	"time"
)

// sendings returns how many messages are sent within a time, with a round every PressedInterval that is a bit late.
func sendings(during time.Duration, next func(now time.Time) bool) int {
	n := 0
	for at := time.Duration(0); at < during; at += PressedInterval {
		if next(start.Add(at + at/1000)) {
			n++
		}
	}
	return n
}

// Guards against messages while nothing is needed, and against intervals that rounds of the same length double.
func TestPacer(t *testing.T) {
	for pace, want := range map[Pace]int{Silent: 0, Steady: 10, Pressed: 50} {
		var p Pacer
		if got := sendings(10*time.Second, func(now time.Time) bool { return p.Next(now, pace) }); got != want {
			t.Errorf("pace %d: %d messages in 10 s, expected %d", pace, got, want)
		}
	}
}

// Guards against needless bytes between data centres: unchanged loads are sent every 2 s, changed ones every second,
// and none while none are needed.
func TestCentrePacer(t *testing.T) {
	parts := func(answered float64) []Part {
		return []Part{{Origin: addrOf(1), Load: CentreLoad{DataCentre: "here", At: start, Groups: contended("here", answered)}}}
	}
	for name, c := range map[string]struct {
		pace     Pace
		answered func(now time.Time) float64
		want     int
	}{
		"nothing needed": {pace: Silent, answered: func(time.Time) float64 { return 100 }, want: 0},
		"unchanged":      {pace: Pressed, answered: func(time.Time) float64 { return 100 }, want: 5},
		"small changes":  {pace: Pressed, answered: func(now time.Time) float64 { return 100 + float64(now.Nanosecond()/1e8) }, want: 5},
		"large changes":  {pace: Pressed, answered: func(now time.Time) float64 { return 100 * (1 + now.Sub(start).Seconds()) }, want: 10},
	} {
		var p CentrePacer
		if got := sendings(10*time.Second, func(now time.Time) bool { return p.Next(now, c.pace, parts(c.answered(now))) }); got != c.want {
			t.Errorf("%s: %d messages in 10 s, expected %d", name, got, c.want)
		}
	}
}

// Guards against an exchange without need: one level and no rejection need none, two levels do, and rejections or
// refusals need a frequent one.
func TestPaceOf(t *testing.T) {
	level := func(arrived, admitted float64) LevelLoad { return LevelLoad{Arrived: arrived, Admitted: admitted} }
	for name, c := range map[string]struct {
		load GroupLoad
		want Pace
	}{
		"one level":                     {load: GroupLoad{Answered: 50, Levels: []LevelLoad{level(50, 50)}}, want: Silent},
		"two levels":                    {load: GroupLoad{Answered: 50, Levels: []LevelLoad{level(50, 50), {Priority: 1, Arrived: 1, Admitted: 1}}}, want: Steady},
		"a level whose traffic ended":   {load: GroupLoad{Answered: 50, Levels: []LevelLoad{level(50, 50), {Priority: 1, Arrived: 0.001}}}, want: Silent},
		"rejections by chance":          {load: GroupLoad{Answered: 50, Rejected: 0.4, Levels: []LevelLoad{level(50, 50)}}, want: Steady},
		"rejections":                    {load: GroupLoad{Answered: 50, Rejected: 0.6, Levels: []LevelLoad{level(50, 50)}}, want: Pressed},
		"refusals":                      {load: GroupLoad{Answered: 50, Levels: []LevelLoad{level(50, 40)}}, want: Pressed},
		"hung, nothing arrives":         {load: GroupLoad{InProgress: 50}, want: Silent},
		"a rejection long ago, decayed": {load: GroupLoad{Rejected: 0.001}, want: Silent},
	} {
		if got := PaceOf([]GroupLoad{c.load}); got != c.want {
			t.Errorf("%s: pace %d, expected %d", name, got, c.want)
		}
	}
}
