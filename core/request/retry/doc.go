// Package retry limits retries and hedges to a share of the first attempts, so
// that a failing upstream does not multiply the load on the others. Amounts
// are attempts; they are kept in thousandths. All types are safe for
// concurrent use.
package retry
