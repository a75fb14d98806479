// Package memory implements core.Store and core.InstanceLister in memory. Tests
// that need no network use it directly, and the fakes program serves it over
// HTTP.
package memory
