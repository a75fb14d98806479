package engsrv

import (
	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/load"
)

// Settings holds the settings that the control endpoints change. Times are in
// milliseconds unless named otherwise.
type Settings struct {
	load.Config
	// A step takes BaseMs, plus SeqMs for each request that generates a token,
	// plus PrefillUs microseconds for each prompt token that it prefills. The sum
	// is multiplied by Slowdown and by the square of load.Tracker.OverloadFactor.
	BaseMs    float64 `json:"base_ms"`
	SeqMs     float64 `json:"seq_ms"`
	PrefillUs float64 `json:"prefill_us"`
	Slowdown  float64 `json:"factor"`
	// MaxPrefillTokens is the maximum number of prompt tokens in one step.
	MaxPrefillTokens int `json:"chunk"`
	// DefaultTokens is the number of tokens of a response if the request does not
	// set it.
	DefaultTokens int `json:"tokens"`
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int `json:"blocks"`
	// ReportLagMs is the age of load reports. NoReport disables load reports.
	ReportLagMs int  `json:"report_lag_ms"`
	NoReport    bool `json:"no_report"`
	// EventDelayMs is the delay of cache events. Each event whose sequence number
	// is a multiple of EventLossInterval is lost; zero loses none.
	EventDelayMs      int `json:"event_delay_ms"`
	EventLossInterval int `json:"event_gap"`
	// EnforceToken makes the engine refuse orders with an outdated fencing token.
	EnforceToken bool `json:"honour_token"`
	// Resumable allows streams to be resumed at a byte offset.
	Resumable bool `json:"resumable"`
	// Frozen stops the steps; requests are still accepted.
	Frozen bool `json:"frozen"`
}

// Defaults are the settings of an engine that generates a token in about 6 ms.
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
		return trace.BadParameter("cold, max, step, over or grace_ms is out of range")
	case s.BaseMs < 0 || s.SeqMs < 0 || s.PrefillUs < 0 || s.Slowdown <= 0 || s.MaxPrefillTokens < 1:
		return trace.BadParameter("base_ms, seq_ms, prefill_us, factor or chunk is out of range")
	case s.DefaultTokens < 1 || s.DefaultTokens > maxTokens || s.CacheBlocks < 0:
		return trace.BadParameter("tokens or blocks is out of range")
	case s.ReportLagMs < 0 || s.EventDelayMs < 0 || s.EventLossInterval < 0:
		return trace.BadParameter("report_lag_ms, event_delay_ms or event_gap is out of range")
	}
	return nil
}
