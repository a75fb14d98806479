// Package ramp limits the concurrency of one upstream. The limit of a cold
// upstream starts low and ramps up to the declared limit.
//
// The limit grows by one after CompletionsPerStep completions without a sign of
// overload and is halved after slow responses or an error: additive increase and
// multiplicative decrease (Chiu and Jain, 1989). A restart of the upstream, or a
// service time far above the baseline, resets the limit to ColdLimit at once.
package ramp
