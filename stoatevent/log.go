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

// F returns a Field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Sink receives events.
type Sink interface {
	Emit(e *Definition, fields ...Field)
}

// Config configures a Logger.
type Config struct {
	Writer   io.Writer
	Level    string // minimum level: debug, info, warn or error
	Instance string // written into every line
}

// Logger is a Sink that writes events as JSON lines.
type Logger struct {
	logger   log.Logger
	instance string
}

// NewLogger returns a Logger for one instance.
func NewLogger(cfg Config) *Logger {
	return &Logger{
		logger:   log.Logger{Level: log.ParseLevel(cfg.Level), Writer: &log.IOWriter{Writer: cfg.Writer}},
		instance: cfg.Instance,
	}
}

// Emit writes one event as a line.
func (l *Logger) Emit(e *Definition, fields ...Field) {
	line := l.logger.WithLevel(levelOf(e.Severity)).Str("event", e.Number.String()).Str("instance", l.instance)
	for _, f := range fields {
		line = line.Str(f.Key, f.Value)
	}
	line.Msg(e.Title)
}

func levelOf(s Severity) log.Level {
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
