// Package ramp holds the hard concurrency limit of one upstream and the ramp
// that raises the limit of a cold upstream to the declared one.
//
// The limit grows by one after Step completions without a sign of overload
// and is cut by half on a slow answer or an error, in the manner of additive
// increase and multiplicative decrease (Chiu and Jain, 1989). A restart of the
// upstream, or a service time far above the baseline, returns the limit to
// Cold at once.
package ramp
