// Package admit decides whether and in which order an entry starts requests:
// Limiter enforces each team's rate, and Queue holds the requests for which no
// upstream has credit.
//
// Every error is a *core.Refusal with run "no": neither type dispatches
// anything. Rates are requests a second. All types are safe for concurrent use.
package admit
