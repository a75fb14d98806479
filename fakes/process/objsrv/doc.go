// Package objsrv is a stand-in for the platform as entries and agents use it: the
// object API, the instance list, which lags behind, and the rate-limited weight
// store. Package meta is the stand-in for the store that gates use. Faults are
// set under /control/. docs/fakes.md lists the endpoints.
package objsrv
