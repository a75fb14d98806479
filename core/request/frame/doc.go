// Package frame reads and writes the messages between an entry and an agent.
//
// A request is one length-delimited wire.Dispatch followed by the raw body. An
// answer is a stream of length-delimited wire.Frame messages: a head, data, and
// a tail with the total length and the xxhash64 of the data, or a refusal.
// Pings may stand anywhere. Reader accepts an answer only if all frames belong
// to the attempt, the sequence has no gap, and the tail matches.
package frame
