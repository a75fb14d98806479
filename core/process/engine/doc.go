// Package engine is the HTTP client of upstreams: Engine is the client of a
// model engine, PlainService that of a plain service.
//
// A call sends its request id, priority, timeout, idempotency key and resume
// offset in the headers named by the Header constants. An engine that refuses a
// call before it executes it responds with status 503 and the reason
// "overloaded"; Engine.Do returns that as a *core.Refusal. Every other response
// is passed to the caller, whatever its status.
//
// Each call uses a connection of its own until its body is closed. Closing the
// body before its end, or canceling the context, closes the sending side of the
// connection, which signals the upstream to cancel the call. An upstream may
// notice that late and continue until then; core.Call.OnRelease is called when it
// has closed its side.
package engine
