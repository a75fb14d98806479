// Package load sends open-loop load to entries or straight to upstreams and
// measures what callers see. Requests start at the times that the rate gives,
// whether or not earlier ones have ended, and latency counts from the planned
// start, so that a slow system does not hide its delay (coordinated omission).
package load
