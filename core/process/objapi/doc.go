// Package objapi is the client of the platform's HTTP API: Store reads and writes
// objects, Lister reads the list of instances, and WeightStore fetches expert
// weights.
//
// The types with JSON tags are the request and response bodies. Errors are
// reported as in package rest.
package objapi
