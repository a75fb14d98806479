// Package engsrv stands in for a model engine with continuous batching: all
// running requests advance together by one token a step, and a step takes
// longer the more requests it serves and the more prompt it prefills.
//
// Text is counted as one token for 4 bytes of the request body. Prompt that is
// in the prefix cache costs nothing; see engine.PrefixHashes for its units.
// docs/fakes.md lists the endpoints.
package engsrv
