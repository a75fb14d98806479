// Package soak runs real gates as processes on one machine under random faults
// that come from outside them, and checks what callers and workers see.
//
// Each seed gives one run. SOAK_SEEDS is the number of seeds, SOAK_FROM the first
// and SOAK_SECONDS the length of a run; the defaults make the short run of the
// check. Seeds that ever failed stand in failedSeeds and are always run.
package soak
