// Package expert computes expert maps, which assign replicas of the experts of
// each layer to the ranks of a group.
//
// Conventions: loads have shape Layers x Experts and count tokens per forward
// pass. The load of a replica is the load of its expert divided by the expert's
// number of replicas. Skew is the load of the slowest rank divided by the mean,
// at least 1. In a valid map each expert has a replica in each layer and no rank
// holds an expert twice in one layer. Placers return nil, which keeps the
// current map, if the map is invalid or the load has another shape, has a
// negative or non-finite value, or is zero in all layers. All algorithms are
// deterministic: ties go to the smaller index.
package expert
