// Package logs writes structured logs. Each line is a numbered event from the
// catalogue with fields; the text of an event never changes with its fields.
package logs

import (
	"fmt"
	"io"
	"maps"

	"github.com/sirupsen/logrus"

	"lagoonrack/internal/fault"
)

// Log writes the events of one process. The zero value drops everything.
type Log struct {
	logger  *logrus.Logger
	process string
}

// New returns a log that writes to w. The format is "text" or "json", and the
// level is one of the names that logrus defines. Empty values mean "text" and
// "info".
func New(w io.Writer, format, level, process string) (Log, error) {
	l := logrus.New()
	l.SetOutput(w)
	switch format {
	case "json":
		l.SetFormatter(jsonFormatter{})
	case "text", "":
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampLayout})
	default:
		return Log{}, fmt.Errorf("log format %q is neither text nor json", format)
	}
	if level == "" {
		level = "info"
	}
	v, err := logrus.ParseLevel(level)
	if err != nil {
		return Log{}, err
	}
	l.SetLevel(v)
	return Log{logger: l, process: process}, nil
}

// timestampLayout is the layout of timestamps. It has a fixed width, and lines of
// several processes are sorted by it.
const timestampLayout = "2006-01-02T15:04:05.000Z07:00"

// Fields are the variable parts of a line.
type Fields = logrus.Fields

// Info writes an event.
func (l Log) Info(e Event, f Fields) { l.write(logrus.InfoLevel, e, f) }

// Debug writes an event that is needed only to diagnose a fault.
func (l Log) Debug(e Event, f Fields) { l.write(logrus.DebugLevel, e, f) }

// Error writes an event with the error that caused it, and the step and peer
// that the error carries.
func (l Log) Error(e Event, err error, f Fields) {
	if l.logger == nil {
		return
	}
	all := Fields{"error": err.Error()}
	if p, ok := fault.LocationOf(err); ok {
		all["step"], all["peer"] = p.Step, p.Peer
	}
	for k, v := range f {
		all[k] = v
	}
	l.write(logrus.ErrorLevel, e, all)
}

func (l Log) write(level logrus.Level, e Event, f Fields) {
	if l.logger == nil || !l.logger.IsLevelEnabled(level) {
		return
	}
	data := make(Fields, len(f)+2)
	data["process"], data["event"] = l.process, e.Number
	maps.Copy(data, f)
	(&logrus.Entry{Logger: l.logger, Data: data}).Log(level, e.Text)
}
