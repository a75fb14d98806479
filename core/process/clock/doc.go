// Package clock implements core.Clock: Real is the system clock, and Manual is
// a clock that tests advance.
package clock
