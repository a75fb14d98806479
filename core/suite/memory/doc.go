// Package memory implements core.Store and core.InstanceLister in memory. Tests use it
// where the network does not matter, and the fakes program serves it over HTTP.
package memory
