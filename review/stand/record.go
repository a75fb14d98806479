package stand

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one JSON line for each event.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// OpenRecord creates the file at path.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Log writes an event. fields alternates between names and values.
func (r *Record) Log(what string, fields ...any) {
	line := map[string]any{"ms": time.Since(r.start).Milliseconds(), "event": what}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fields[i].(string)] = fields[i+1]
	}
	data, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(data, '\n'))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
