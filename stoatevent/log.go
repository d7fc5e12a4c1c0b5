package stoatevent

import (
	"io"

	"github.com/phuslu/log"
)

// Field is one named value of a log event.
type Field struct {
	Key   string
	Value string
}

// F returns a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Sink takes numbered events.
type Sink interface {
	Emit(e *Definition, fields ...Field)
}

// Config configures a Logger.
type Config struct {
	Writer   io.Writer
	Level    string // debug, info, warn or error
	Instance string
}

// Logger writes events as JSON lines.
type Logger struct {
	out      log.Logger
	instance string
}

// NewLogger returns a Logger for one instance.
func NewLogger(cfg Config) *Logger {
	return &Logger{
		out:      log.Logger{Level: log.ParseLevel(cfg.Level), Writer: &log.IOWriter{Writer: cfg.Writer}},
		instance: cfg.Instance,
	}
}

// Emit writes one event.
func (l *Logger) Emit(e *Definition, fields ...Field) {
	line := l.out.WithLevel(level(e.Severity)).Str("event", e.Number.String()).Str("instance", l.instance)
	for _, f := range fields {
		line = line.Str(f.Key, f.Value)
	}
	line.Msg(e.Title)
}

func level(s Severity) log.Level {
	switch s {
	case Warning:
		return log.WarnLevel
	case Error:
		return log.ErrorLevel
	default:
		return log.InfoLevel
	}
}

// Discard is a Sink that drops every event.
type Discard struct{}

// Emit does nothing.
func (Discard) Emit(*Definition, ...Field) {}
