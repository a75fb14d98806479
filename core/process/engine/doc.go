// Package engine meets upstreams over HTTP: Engine is a model engine, Plain a
// plain service.
//
// A call passes on its request id, priority, time left, idempotency key and
// resume offset in the headers below. An engine that refuses a call before it
// runs it answers 503 with the reason "overloaded"; the adapter returns that
// as a *core.Refusal. Every other answer is the caller's, whatever its status.
//
// Each call has a connection to itself until its body is closed. Closing the
// body before its end, or ending the context, closes the sending side of the
// connection, which tells the upstream to cancel the work. An upstream can
// notice that late and goes on until then; core.Call.Left tells when it has
// closed its side.
package engine
