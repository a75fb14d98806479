// Package serve puts the parts of an agent together and runs them.
package serve
