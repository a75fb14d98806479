// Package outage simulates the callers of a service during an outage, to compare
// rules for the Retry-After of refusals. It plays gate/process/policy, the same code
// that a gate runs. The service has a fixed number of slots and a fixed service time;
// requests wait for a limited time, and are refused then. A refused
// caller comes back once, after the time that it was told, but at most a third of the
// time that it has left; some callers come back at once and more often. All times are
// simulated, and a seed gives the same result each time.
package outage
