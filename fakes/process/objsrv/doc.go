// Package objsrv stands in for the platform: the object API, the lagging list
// of instances and the rate-limited weight store, with faults that are set
// under /control/. docs/fakes.md lists the endpoints.
package objsrv
