package cmds

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// maxLineBytes limits a log line; the lines of a process have a few hundred bytes.
const maxLineBytes = 1 << 20

// logEntry is one parsed line of a process's log.
type logEntry struct {
	at       time.Time
	instance string
	event    string
	request  string
	fields   map[string]any
}

// requestEvents lists the events of single requests. All other events report
// state changes of a process.
var requestEvents = []string{
	"sent", "attempt_failed", "retry", "group_stalled", "stale_answer", "answered", "streamed",
	"refused", "broken_off", "caller_gone", "caller_lost",
}

func (p *program) traceCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Show the log lines of one request",
		Long: `Shows the log lines of all processes for one request in chronological order, and
a summary of how the request ended. A file contains the log of one or several
processes, with or without a prefix on each line; - is the standard input.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			entries, err := p.readLogs(args[1:])
			if err != nil {
				return withCode(Invalid, err)
			}
			entries = slices.DeleteFunc(entries, func(e logEntry) bool { return e.request != args[0] })
			if len(entries) == 0 {
				return withCode(NotFound, trace.NotFound("no log line has the request ID %q; its lines may have been dropped (event log_dropped)", args[0]))
			}
			return p.printLogs(entries, describeOutcome(entries))
		},
	}
}

func (p *program) timelineCmd() *cobra.Command {
	var from, to string
	cmd := &cobra.Command{
		Use:   "timeline FILE...",
		Short: "Show the state changes of the processes",
		Long: `Shows the log lines that do not belong to a single request, in chronological
order: changes of configurations, upstreams, groups, leaders, maps and the store,
and starts and ends of processes. --from and --to accept times in the format of
the logs, or a prefix of one.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			entries, err := p.readLogs(args)
			if err != nil {
				return withCode(Invalid, err)
			}
			entries = slices.DeleteFunc(entries, func(e logEntry) bool {
				at := e.at.Format(time.RFC3339Nano)
				return slices.Contains(requestEvents, e.event) || from != "" && at < from || to != "" && at > to
			})
			return p.printLogs(entries, "")
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "earliest time, such as 2026-09-17T00:52:41")
	cmd.Flags().StringVar(&to, "to", "", "latest time")
	return cmd
}

// readLogs reads the log lines of all files in chronological order. It skips
// lines that are not log lines.
func (p *program) readLogs(files []string) ([]logEntry, error) {
	var entries []logEntry
	for _, name := range files {
		r := io.Reader(os.Stdin)
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			defer func() { _ = f.Close() }()
			r = f
		}
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if e, ok := parseLogEntry(s.Text()); ok {
				entries = append(entries, e)
			}
		}
		if err := s.Err(); err != nil {
			return nil, trace.BadParameter("%s: %s", name, err)
		}
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.at.Compare(b.at) })
	return entries, nil
}

func parseLogEntry(line string) (logEntry, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return logEntry{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(line[start:]), &fields) != nil {
		return logEntry{}, false
	}
	stringField := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, stringField("time"))
	if err != nil || stringField("event") == "" {
		return logEntry{}, false
	}
	e := logEntry{at: at, instance: stringField("instance"), event: stringField("event"), request: stringField("request"), fields: fields}
	for _, name := range []string{"time", "event", "instance", "program", "request"} {
		delete(fields, name)
	}
	return e, true
}

func (p *program) printLogs(entries []logEntry, conclusion string) error {
	rows := [][]string{{"TIME", "INSTANCE", "EVENT", "FIELDS"}}
	values := make([]map[string]any, 0, len(entries))
	for _, e := range entries {
		names := make([]string, 0, len(e.fields))
		for name := range e.fields {
			names = append(names, name)
		}
		slices.Sort(names)
		parts := make([]string, len(names))
		for i, name := range names {
			parts[i] = fmt.Sprintf("%s=%v", name, e.fields[name])
		}
		at := e.at.Format("15:04:05.000")
		rows = append(rows, []string{at, e.instance, e.event, strings.Join(parts, " ")})
		values = append(values, map[string]any{"time": e.at, "instance": e.instance, "event": e.event, "fields": e.fields})
	}
	if err := p.print(values, rows); err != nil {
		return err
	}
	if conclusion != "" && p.format == "table" {
		_, err := fmt.Fprintln(p.stdout, conclusion)
		return err
	}
	return nil
}

// describeOutcome returns a sentence that states how a request ended and why.
func describeOutcome(entries []logEntry) string {
	var cause string
	for _, e := range entries {
		switch e.event {
		case "attempt_failed":
			cause = fmt.Sprintf("; the last attempt, at %v, failed after %v ms: %v", e.fields["upstream"], e.fields["took"], cmp.Or(e.fields["error"], e.fields["verdict"]))
		case "group_stalled":
			cause = fmt.Sprintf("; its group stalled because of %v", e.fields["culprit"])
		}
	}
	for _, e := range slices.Backward(entries) {
		age := e.fields["age"]
		switch e.event {
		case "answered":
			return fmt.Sprintf("Answered with status %v after %v ms and %v attempts%s.", e.fields["status"], age, e.fields["sends"], cause)
		case "streamed":
			return fmt.Sprintf("Streamed %v events in %v ms, the first after %v ms, the longest event gap %v ms%s.", e.fields["events"], age, e.fields["first"], e.fields["worst_pause"], cause)
		case "refused":
			return fmt.Sprintf("Ended by the gate with status %v after %v ms: %v, reason %v, run %v, waited %v ms%s.", e.fields["status"], age, e.fields["message"], e.fields["reason"], e.fields["run"], e.fields["waited"], cause)
		case "broken_off":
			return fmt.Sprintf("Interrupted after %v ms and event %v, reason %v%s.", age, e.fields["last_event"], e.fields["reason"], cause)
		case "caller_gone":
			return fmt.Sprintf("The caller disconnected after %v ms%s.", age, cause)
		}
	}
	return "The logs do not show how the request ended: the process may have stopped" + cause + "."
}
