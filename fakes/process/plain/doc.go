// Package plain is a stand-in for a service whose requests must not be retried.
// It responds to any path and method, completes each run even if the caller
// disconnects, and counts the runs of each idempotency key and request ID.
package plain
