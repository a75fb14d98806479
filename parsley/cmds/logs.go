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

// maxLine bounds a line of a log; a process writes some hundred bytes.
const maxLine = 1 << 20

// entry is one line of a process's log.
type entry struct {
	at       time.Time
	instance string
	event    string
	request  string
	fields   map[string]any
}

// requestEvents lists the events that concern one request. All others change
// what a process believes.
var requestEvents = []string{
	"sent", "attempt_failed", "retry", "group_stalled", "stale_answer", "answered", "streamed",
	"refused", "broken_off", "caller_gone", "caller_lost",
}

func (p *program) traceCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Show what the logs say of one request",
		Long: `Joins the lines of all processes for one request in order of time, and says in
one sentence how it ended. A file is a process's log or several of them, with or
without text before each line; - is the standard input.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			entries, err := p.readLogs(args[1:])
			if err != nil {
				return fail(Invalid, err)
			}
			entries = slices.DeleteFunc(entries, func(e entry) bool { return e.request != args[0] })
			if len(entries) == 0 {
				return fail(NotFound, trace.NotFound("no line names the request %q; its lines may have been left out (event log_dropped)", args[0]))
			}
			return p.printLogs(entries, sentence(entries))
		},
	}
}

func (p *program) timelineCmd() *cobra.Command {
	var from, to string
	cmd := &cobra.Command{
		Use:   "timeline FILE...",
		Short: "Show what changed in the processes' beliefs",
		Long: `Shows the lines that concern no single request, in order of time: configurations,
upstreams, groups, leaders, maps, the store, starts and ends. --from and --to
take times as they stand in the logs, or a part of them.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			entries, err := p.readLogs(args)
			if err != nil {
				return fail(Invalid, err)
			}
			entries = slices.DeleteFunc(entries, func(e entry) bool {
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

// readLogs reads the lines of all files in order of time. What is no line of a
// log is left out.
func (p *program) readLogs(files []string) ([]entry, error) {
	var entries []entry
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
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if e, ok := parseEntry(s.Text()); ok {
				entries = append(entries, e)
			}
		}
		if err := s.Err(); err != nil {
			return nil, trace.BadParameter("%s: %s", name, err)
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return a.at.Compare(b.at) })
	return entries, nil
}

func parseEntry(line string) (entry, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return entry{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(line[start:]), &fields) != nil {
		return entry{}, false
	}
	text := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil || text("event") == "" {
		return entry{}, false
	}
	e := entry{at: at, instance: text("instance"), event: text("event"), request: text("request"), fields: fields}
	for _, name := range []string{"time", "event", "instance", "program", "request"} {
		delete(fields, name)
	}
	return e, true
}

func (p *program) printLogs(entries []entry, last string) error {
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
	if last != "" && p.output == "table" {
		_, err := fmt.Fprintln(p.out, last)
		return err
	}
	return nil
}

// sentence says how a request ended and why.
func sentence(entries []entry) string {
	var cause string
	for _, e := range entries {
		switch e.event {
		case "attempt_failed":
			cause = fmt.Sprintf("; the last attempt, at %v, failed after %v ms: %v", e.fields["upstream"], e.fields["took"], cmp.Or(e.fields["error"], e.fields["verdict"]))
		case "group_stalled":
			cause = fmt.Sprintf("; its group stood still because of %v", e.fields["culprit"])
		}
	}
	for _, e := range slices.Backward(entries) {
		age := e.fields["age"]
		switch e.event {
		case "answered":
			return fmt.Sprintf("Answered with status %v after %v ms and %v sends%s.", e.fields["status"], age, e.fields["sends"], cause)
		case "streamed":
			return fmt.Sprintf("Streamed %v events in %v ms, the first after %v ms, the longest pause %v ms%s.", e.fields["events"], age, e.fields["first"], e.fields["worst_pause"], cause)
		case "refused":
			return fmt.Sprintf("Ended by the gate with status %v after %v ms: %v, reason %v, run %v, waited %v ms%s.", e.fields["status"], age, e.fields["message"], e.fields["reason"], e.fields["run"], e.fields["waited"], cause)
		case "broken_off":
			return fmt.Sprintf("Broken off after %v ms and event %v, reason %v%s.", age, e.fields["last_event"], e.fields["reason"], cause)
		case "caller_gone":
			return fmt.Sprintf("The caller left after %v ms%s.", age, cause)
		}
	}
	return "The logs do not tell how it ended: the process may have stopped" + cause + "."
}
