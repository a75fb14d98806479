// Package front serves the HTTP interface for the callers of an entry. It converts
// HTTP requests to flow.Request values, and flow.Response values and refusals to
// HTTP responses.
package front
