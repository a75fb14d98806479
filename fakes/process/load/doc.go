// Package load tracks the concurrency of a stand-in upstream: its current
// limit, how often requests exceeded it, and how often each request ran.
package load
