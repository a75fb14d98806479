// Package retry limits the number of retries and hedged requests to a fraction of
// the number of first attempts, so that a failing upstream does not multiply the
// load on the others. All types are safe for concurrent use.
package retry
