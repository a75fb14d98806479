// Package admit implements admission control: Limiter enforces the rate limit of
// each team, and Queue orders the requests that wait for capacity at the
// upstreams.
//
// Every error is a *core.Refusal with core.NotExecuted, because neither type
// dispatches a request. Rates are in requests per second. Limiter and Queue are
// safe for concurrent use.
package admit
