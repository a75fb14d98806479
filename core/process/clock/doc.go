// Package clock implements core.Clock: Real reads the machine's clock and
// Manual is moved by tests.
package clock
