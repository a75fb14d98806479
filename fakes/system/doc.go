// Package system holds the tests that run whole systems: real processes of
// entries, agents and stand-ins on loopback addresses, under faults.
package system
