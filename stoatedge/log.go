package stoatedge

import (
	"io"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// flowLines bounds the lines a second of an event that packets cause: a flood must not turn
// into a flood of lines. State changes have no bound.
const flowLines = 40

// eventLog writes events without ever blocking traffic.
type eventLog struct {
	pipe    *stoatevent.AsyncWriter
	mu      sync.RWMutex // guards logger
	logger  *stoatevent.Logger
	sampler *stoatevent.Sampler
	group   errgroup.Group
	lost    int64
	told    time.Time
	name    string
}

func newEventLog(w io.Writer, set stoatsetting.Settings) *eventLog {
	l := &eventLog{pipe: stoatevent.NewAsyncWriter(), name: string(set.Instance)}
	l.sampler = stoatevent.NewSampler(map[stoatevent.Number]int{
		EventFlowPlaced.Number: flowLines, EventFlowReset.Number: flowLines,
		EventPacketDropped.Number: flowLines, EventUpstreamEjected.Number: flowLines,
		EventLateAnswer.Number: flowLines, EventInvalidObject.Number: flowLines, EventIncarnation.Number: flowLines,
	})
	l.level(set.LogLevel)
	l.group.Go(func() error { return l.pipe.Run(w) })
	return l
}

func (l *eventLog) level(level string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logger = stoatevent.NewLogger(stoatevent.Config{Writer: l.pipe, Level: level, Instance: l.name})
}

func (l *eventLog) admit(now time.Time, e *stoatevent.Definition) bool {
	return l.sampler.Allow(now, e)
}

// write writes a line that was admitted.
func (l *eventLog) write(e *stoatevent.Definition, fields ...stoatevent.Field) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	l.logger.Emit(e, fields...)
}

func (l *eventLog) emit(now time.Time, e *stoatevent.Definition, fields ...stoatevent.Field) {
	if l.admit(now, e) {
		l.write(e, fields...)
	}
}

const accountEvery = 5 * time.Second

// account says which lines were left out, and tells whether its time had come.
func (l *eventLog) account(now time.Time) bool {
	if now.Sub(l.told) < accountEvery {
		return false
	}
	l.told = now
	var fields []stoatevent.Field
	for _, left := range l.sampler.TakeOmitted() {
		fields = append(fields, stoatevent.F(left.Number.String(), strconv.FormatInt(left.Count, 10)))
	}
	if lost := l.pipe.Dropped(); lost > l.lost {
		fields = append(fields, stoatevent.F("writer", strconv.FormatInt(lost-l.lost, 10)))
		l.lost = lost
	}
	if len(fields) > 0 {
		l.write(EventLinesOmitted, fields...)
	}
	return true
}

func (l *eventLog) close() {
	l.pipe.Close()
	_ = l.group.Wait()
}
