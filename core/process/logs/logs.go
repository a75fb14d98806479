// Package logs creates the loggers of the programs: go-kit loggers that write JSON
// lines with a UTC time, the program and the instance.
package logs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes to w. minLevel is debug, info, warn or error;
// any other value means info.
func New(w io.Writer, program, instance, minLevel string) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = log.With(l, "time", log.DefaultTimestampUTC, "program", program, "instance", instance)
	return level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}
