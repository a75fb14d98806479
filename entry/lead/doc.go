// Package lead runs the tasks that a single entry performs for all entries:
// rebalancing the experts of each rank group, and removing old claims. Each task has
// a lease in the store. Only a few entries contend for each lease, so that the load
// on the store does not grow with the number of entries.
package lead
