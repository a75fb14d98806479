// Package engsrv is a stand-in for a model engine with continuous batching: each
// step (forward pass) generates one token for every running request whose prompt
// is prefilled. A step takes longer the more requests it serves and the more
// prompt tokens it prefills.
//
// Tokens are estimated as one per 4 bytes of the request body. Prompt blocks
// that are in the prefix cache need no prefill; engine.PrefixHashes defines the
// blocks. docs/fakes.md lists the endpoints.
package engsrv
