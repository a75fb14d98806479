// Package suite holds the test suites that every implementation of a root
// interface must pass. A test package registers a suite with ginkgo in its own
// test files.
package suite
