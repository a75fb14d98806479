// Package ranks simulates a group of ranks that run in lock-step on an expert
// map. Each rank is a goroutine that waits for all others at the start and the
// end of each step. Group.Rank returns a rank as a core.RankEngine; the fakes
// program serves the ranks over HTTP.
//
// The Step of a rank is the step that it runs or waits to run. A switch can only
// be prepared for a later step. A rank that prepared a switch at step S waits
// before S until Decide commits or aborts the switch.
//
// Stage does not raise the promised ballot; Prepare and Decide do if they
// succeed. Staging the active map again has no effect. A replaced rank joins the
// group when Decide admits it; see Group.ReplaceRank.
package ranks
