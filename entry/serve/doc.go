// Package serve puts the parts of an entry together and runs them.
package serve
