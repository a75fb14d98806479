// Package load accounts for the concurrency of a stand-in upstream: how much it
// bears at the moment, how often it got more, and how often each request ran.
package load
