// Package front serves the callers' HTTP interface of an entry. It turns HTTP
// requests into flow.Request values and answers or refusals into HTTP.
package front
