// Package ranks models a group of ranks that run in lock-step on an expert map.
// Each rank is a goroutine that waits for all others at the start and the end of
// each step. Rank gives one rank as a core.RankEngine; the fakes program serves them
// over HTTP.
//
// A rank's Step is the step that it runs, or waits to run, at the moment. Only
// later steps can be promised. A rank that promised step S holds before S until
// Decide tells the outcome.
//
// Stage does not raise the promised ballot; Prepare and Decide do if they
// succeed. A map that is active already can be staged again, to no effect. A rank
// that was replaced joins when Decide admits it; see Group.Replace.
package ranks
