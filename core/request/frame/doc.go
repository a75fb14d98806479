// Package frame encodes and decodes the messages between an entry and an agent.
//
// A request is one length-delimited wire.Dispatch followed by the raw body. An
// answer, which is the agent's response to it, is a stream of length-delimited
// wire.Frame messages: a head, data, and a tail with the total length and the
// xxhash64 of the data, or a refusal.
// Pings may occur between any two frames. Reader drops frames of other attempts,
// and accepts an answer only if its sequence numbers have no gap and its tail
// matches the data.
package frame
