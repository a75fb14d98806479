// Package group meets one rank of a group over HTTP with JSON bodies, which are
// the types with JSON tags. Failures are reported as in package rest.
package group
