// Package plain stands in for a service whose calls may not be repeated: it
// answers any path and method, runs each request to its end even if the caller
// goes away, and counts the runs of each idempotency key and request id.
package plain
