// Package suite holds the conformance specs that each implementation of an
// interface of package core must pass. A package that implements one registers
// the specs with Ginkgo in its test files.
package suite
