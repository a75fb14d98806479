// Package flow takes one request through admission, the choice of an upstream,
// dispatch and retries.
package flow
