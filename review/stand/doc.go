// Package stand holds the stand-ins of the review cases: the platform's store,
// workers, clients and the launcher of the project's programs. All addresses are
// loopback addresses.
package stand
