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

// maxPacketLines limits the log lines per second of each event that packets or faulty objects cause, so that a
// flood of them does not become a flood of lines. State changes have no limit.
const maxPacketLines = 40

// eventLog writes events without ever blocking traffic.
type eventLog struct {
	writer       *stoatevent.AsyncWriter
	mu           sync.RWMutex // guards logger
	logger       *stoatevent.Logger
	sampler      *stoatevent.Sampler
	group        errgroup.Group
	lostReported int64
	lastReport   time.Time
	name         string
}

func newEventLog(w io.Writer, set stoatsetting.Settings) *eventLog {
	l := &eventLog{writer: stoatevent.NewAsyncWriter(), name: string(set.Instance)}
	l.sampler = stoatevent.NewSampler(map[stoatevent.Number]int{
		EventFlowPlaced.Number: maxPacketLines, EventFlowReset.Number: maxPacketLines,
		EventPacketDropped.Number: maxPacketLines, EventUpstreamEjected.Number: maxPacketLines,
		EventLateAnswer.Number: maxPacketLines, EventInvalidObject.Number: maxPacketLines, EventIncarnation.Number: maxPacketLines,
	})
	l.setLevel(set.LogLevel)
	l.group.Go(func() error { return l.writer.Run(w) })
	return l
}

func (l *eventLog) setLevel(level string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logger = stoatevent.NewLogger(stoatevent.Config{Writer: l.writer, Level: level, Instance: l.name})
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

// omittedInterval is the time between two reports of omitted lines.
const omittedInterval = 5 * time.Second

// reportOmitted logs which lines were omitted, and reports whether that was due.
func (l *eventLog) reportOmitted(now time.Time) bool {
	if now.Sub(l.lastReport) < omittedInterval {
		return false
	}
	l.lastReport = now
	var fields []stoatevent.Field
	for _, omitted := range l.sampler.TakeOmitted() {
		fields = append(fields, stoatevent.F(omitted.Number.String(), strconv.FormatInt(omitted.Count, 10)))
	}
	if lost := l.writer.Dropped(); lost > l.lostReported {
		fields = append(fields, stoatevent.F("writer", strconv.FormatInt(lost-l.lostReported, 10)))
		l.lostReported = lost
	}
	if len(fields) > 0 {
		l.write(EventLinesOmitted, fields...)
	}
	return true
}

func (l *eventLog) close() {
	l.writer.Close()
	_ = l.group.Wait()
}
