// Package admin serves the operators' HTTP API below /v1/admin on every entry.
//
//	GET    /v1/admin/objects/{kind}[?source=store]
//	GET    /v1/admin/objects/{kind}/{name}
//	PUT    /v1/admin/objects/{kind}/{name}?version=N[&dry_run=true]
//	DELETE /v1/admin/objects/{kind}/{name}?version=N[&dry_run=true]
//	POST   /v1/admin/out/{zone|upstream}/{name}
//	DELETE /v1/admin/out/{zone|upstream}/{name}
//	GET    /v1/admin/select/{kind}?selector=S
//	POST   /v1/admin/status
//	GET    /v1/admin/explain/{request id}
//
// Every request carries "Authorization: Bearer <operator key>". Declarations are
// TOML as in package decl; responses are JSON with the types of this package.
//
// A write is conditional on the version of the object that it replaces; version
// 0 means that the object must not exist. The header X-Nonce, a new random value
// for each write, makes writes idempotent: a write whose response was lost is
// recognized by operator and nonce, both when the API retries a store call and
// when the caller repeats the request. Errors have the form
// {"error":{"reason","message","run","retry_after_ms","conflict"}}, where run
// states whether this request took effect: no, unknown or yes. A caller that got
// no response to an earlier request with the same nonce must treat "no" as
// unknown.
package admin
