// Package load sends open-loop load to entries or directly to upstreams and
// measures the responses as callers see them. Requests start at random times
// drawn for the rate, whether or not earlier ones have ended. Latency is
// measured from the planned start of a request, which avoids coordinated
// omission: a slow system cannot hide its delay by delaying later requests.
package load
