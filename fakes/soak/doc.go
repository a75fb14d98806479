// Package soak runs real gates as processes on one machine under random external
// faults, and checks what callers and workers observe.
//
// Each seed gives one run. SOAK_SEEDS is the number of seeds, SOAK_FROM the first
// one and SOAK_SECONDS the length of a run; the defaults give the short run of the
// CI check. Seeds that have ever failed are listed in failedSeeds and always run.
package soak
