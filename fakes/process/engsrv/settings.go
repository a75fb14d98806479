package engsrv

import (
	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/load"
)

// Settings is what the control endpoints change. Times are in milliseconds
// unless named otherwise.
type Settings struct {
	load.Config
	// A step takes BaseMs, SeqMs for each request that generates, and
	// PrefillUs microseconds for each token of prompt; all times Factor, and
	// times the square of the excess above what the engine bears.
	BaseMs    float64 `json:"base_ms"`
	SeqMs     float64 `json:"seq_ms"`
	PrefillUs float64 `json:"prefill_us"`
	Factor    float64 `json:"factor"`
	// Chunk is the most tokens of prompt in one step.
	Chunk int `json:"chunk"`
	// Tokens is the length of an answer where the request states none.
	Tokens int `json:"tokens"`
	// Blocks is the size of the prefix cache in blocks.
	Blocks int `json:"blocks"`
	// ReportLagMs is the age of load reports. NoReport takes them away.
	ReportLagMs int  `json:"report_lag_ms"`
	NoReport    bool `json:"no_report"`
	// EventDelayMs is the age of cache events; one in EventGap is lost, none
	// if zero.
	EventDelayMs int `json:"event_delay_ms"`
	EventGap     int `json:"event_gap"`
	// HonourToken makes the engine refuse orders with an old token.
	HonourToken bool `json:"honour_token"`
	// Resumable lets streams be resumed by offset.
	Resumable bool `json:"resumable"`
	// Frozen stops the steps; requests are still accepted.
	Frozen bool `json:"frozen"`
}

// Defaults are the settings of an engine that makes a token in about 6 ms.
var Defaults = Settings{
	Config:       load.Config{Cold: 2, Max: 16, Step: 8, Over: 2, GraceMs: 1000},
	BaseMs:       6,
	SeqMs:        0.15,
	PrefillUs:    20,
	Factor:       1,
	Chunk:        2048,
	Tokens:       64,
	Blocks:       4096,
	ReportLagMs:  500,
	EventDelayMs: 200,
	EventGap:     50,
	HonourToken:  true,
	Resumable:    true,
}

func (s Settings) check() error {
	switch {
	case s.Cold < 1 || s.Max < s.Cold || s.Step < 1 || s.Over < 0 || s.GraceMs < 0:
		return trace.BadParameter("cold, max or step is out of range")
	case s.BaseMs < 0 || s.SeqMs < 0 || s.PrefillUs < 0 || s.Factor <= 0 || s.Chunk < 1:
		return trace.BadParameter("a cost is out of range")
	case s.Tokens < 1 || s.Tokens > maxTokens || s.Blocks < 0:
		return trace.BadParameter("tokens or blocks is out of range")
	case s.ReportLagMs < 0 || s.EventDelayMs < 0 || s.EventGap < 0:
		return trace.BadParameter("a lag is out of range")
	}
	return nil
}
