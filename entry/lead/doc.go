// Package lead does the work that one entry does for all: the rebalancing of
// each group's experts, and the removal of old claims. Each piece of work has a
// lease in the store. Only a few entries contend for a lease, so that the
// store's load does not grow with the number of entries.
package lead
