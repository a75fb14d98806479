// Package objapi meets the platform over HTTP with JSON bodies: Store is the
// object API, Lister the list of instances, and Weights the weight store.
//
// The types with JSON tags are the bodies of the protocol. Failures are
// reported as in package rest.
package objapi
