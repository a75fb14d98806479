// Package objsrv is a stand-in for the platform: the object API, the instance
// list, which lags behind, and the rate-limited weight store. Faults are set
// under /control/. docs/fakes.md lists the endpoints.
package objsrv
