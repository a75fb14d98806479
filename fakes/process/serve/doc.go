// Package serve runs the HTTP servers of the stand-ins: loopback addresses
// only, strict JSON bodies, and typed JSON errors.
package serve
