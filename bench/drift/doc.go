// Package drift measures how well a placer balances a group of ranks while the
// popularity of experts drifts and shifts, and the cost of the rebalancing.
//
// The popularity of each expert follows its own daily curve, compressed in time.
// At one time, half of the experts exchange their popularity. The placer gets
// sampled counts averaged with decay. A new map takes effect once its moved
// replicas are staged at the rate of the weight store. Skew is that of the
// expected loads. It excludes the sampling noise of single steps, which no
// placement can remove. All times are simulated.
package drift
