// Package policy measures pickers in a discrete-event simulation of entries and
// upstream queues: mixed request lengths, one slow upstream, and load reports
// that lag. It simulates nothing else of a cluster. The same seed gives the
// same arrivals and lengths to every picker, and the same result on each run.
//
// An upstream serves a number of requests at once, its slots, and holds the
// others in arrival order. A report comes to an entry when a request of that
// entry starts or ends there, and every 500 ms while one is in flight. It shows
// the load of some time earlier, the lag, which the entry does not know. Times
// are simulated.
package policy
