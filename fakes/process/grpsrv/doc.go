// Package grpsrv serves a simulated rank group over HTTP. docs/fakes.md lists the
// endpoints.
package grpsrv
