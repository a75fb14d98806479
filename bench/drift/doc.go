// Package drift measures how well a placer balances a group of ranks while the
// popularity of experts drifts and shifts, and what the rebalancing costs.
//
// Each expert's popularity follows a day's curve of its own, compressed in
// time; at one moment part of the experts exchange their popularity. The placer
// sees sampled counts averaged with decay. A new map takes effect once its
// moved replicas are staged at the rate of the weight store. Skew is that of
// the expected loads: the sampling noise of a single step comes on top and no
// placement can remove it. Times are simulated.
package drift
