// Package logs makes the loggers of all programs: go-kit loggers that write
// JSON lines with a UTC time, the program, and the instance.
package logs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes to w. lowest is debug, info, warn or error;
// any other value means info.
func New(w io.Writer, program, instance, lowest string) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = log.With(l, "time", log.DefaultTimestampUTC, "program", program, "instance", instance)
	return level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
}
