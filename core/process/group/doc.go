// Package group is the HTTP client of one rank of a group. The types with JSON
// tags are the request and response bodies. Errors are those of package rest.
package group
