// Package expert computes expert maps: which rank of a group holds a replica of
// which expert in each layer.
//
// Conventions: loads have shape Layers x Experts in tokens a step. A replica's
// load is its expert's load divided by the expert's number of replicas. Skew is
// the load of the slowest rank over the mean, at least 1. In a valid map each
// expert has a replica in each layer and no rank holds an expert twice in one
// layer. Placers return nil, which keeps the current map, if the map is invalid
// or the load has another shape, a negative or non-finite value, or no load at
// all in any layer. All algorithms are deterministic: ties go to the smaller
// index.
package expert
