// Package serve assembles and runs the components of an entry process.
package serve
