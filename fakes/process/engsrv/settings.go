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
	Slowdown  float64 `json:"factor"`
	// MaxPrefillTokens is the most tokens of prompt in one step.
	MaxPrefillTokens int `json:"chunk"`
	// DefaultTokens is the length of an answer where the request states none.
	DefaultTokens int `json:"tokens"`
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int `json:"blocks"`
	// ReportLagMs is the age of load reports. NoReport takes them away.
	ReportLagMs int  `json:"report_lag_ms"`
	NoReport    bool `json:"no_report"`
	// EventDelayMs is the age of cache events; one in EventGap is lost, none
	// if zero.
	EventDelayMs      int `json:"event_delay_ms"`
	EventLossInterval int `json:"event_gap"`
	// EnforceToken makes the engine refuse orders with an old token.
	EnforceToken bool `json:"honour_token"`
	// Resumable lets streams be resumed by offset.
	Resumable bool `json:"resumable"`
	// Frozen stops the steps; requests are still accepted.
	Frozen bool `json:"frozen"`
}

// Defaults are the settings of an engine that makes a token in about 6 ms.
var Defaults = Settings{
	Config:            load.Config{ColdLimit: 2, MaxLimit: 16, CompletionsPerSlot: 8, RefuseFactor: 2, GraceMs: 1000},
	BaseMs:            6,
	SeqMs:             0.15,
	PrefillUs:         20,
	Slowdown:          1,
	MaxPrefillTokens:  2048,
	DefaultTokens:     64,
	CacheBlocks:       4096,
	ReportLagMs:       500,
	EventDelayMs:      200,
	EventLossInterval: 50,
	EnforceToken:      true,
	Resumable:         true,
}

func (s Settings) check() error {
	switch {
	case s.ColdLimit < 1 || s.MaxLimit < s.ColdLimit || s.CompletionsPerSlot < 1 || s.RefuseFactor < 0 || s.GraceMs < 0:
		return trace.BadParameter("cold, max or step is out of range")
	case s.BaseMs < 0 || s.SeqMs < 0 || s.PrefillUs < 0 || s.Slowdown <= 0 || s.MaxPrefillTokens < 1:
		return trace.BadParameter("a cost is out of range")
	case s.DefaultTokens < 1 || s.DefaultTokens > maxTokens || s.CacheBlocks < 0:
		return trace.BadParameter("tokens or blocks is out of range")
	case s.ReportLagMs < 0 || s.EventDelayMs < 0 || s.EventLossInterval < 0:
		return trace.BadParameter("a lag is out of range")
	}
	return nil
}
