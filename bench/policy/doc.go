// Package policy compares pickers in a discrete-event simulation of entries and
// upstream queues, with mixed service times, one slow upstream and delayed load
// reports. It simulates no other part of a cluster. With the same seed, every
// picker gets the same arrivals and service times, and each run gives the same
// result.
//
// An upstream serves a fixed number of requests at once, its slots, and queues
// the others in arrival order. An entry gets a load report from an upstream when
// one of its requests starts or ends there, and every 500 ms while one is
// running. A report shows the load at an earlier time. The entry does not know
// this lag. All times are simulated.
package policy
