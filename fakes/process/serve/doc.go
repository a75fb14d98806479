// Package serve runs the HTTP servers of the stand-ins. They listen on loopback
// addresses only, accept strict JSON bodies and return typed JSON errors.
package serve
