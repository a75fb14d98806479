// Package serve assembles and runs the components of an agent process.
package serve
