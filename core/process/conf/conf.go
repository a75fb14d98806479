// Package conf reads TOML settings strictly: an unknown key, a wrong type or a
// wrong unit is an error that states the file, line and key.
package conf

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration in text form, for example "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.BadParameter("%q is not a duration such as \"250ms\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// OrDefault returns the duration, or def if it is zero.
func (d Duration) OrDefault(def time.Duration) time.Duration {
	if d.Duration == 0 {
		return def
	}
	return d.Duration
}

// Load reads the settings file at path into v.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return Decode(path, data, v)
}

// Decode decodes TOML into v. Errors refer to the file as name.
func Decode(name string, data []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return trace.BadParameter("%s:%d: unknown key %q", name, row, joinKey(e.Key()))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return trace.BadParameter("%s:%d: key %q: %s", name, row, joinKey(decodeErr.Key()), decodeErr.Error())
	}
	return trace.BadParameter("%s: %s", name, err.Error())
}

func joinKey(key toml.Key) string {
	var b bytes.Buffer
	for i, k := range key {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(k)
	}
	return b.String()
}
