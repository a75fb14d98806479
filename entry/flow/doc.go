// Package flow handles the requests of callers in an entry: admission, choice of
// an upstream, dispatch, retries and resumption of streams.
package flow
