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
// Every call carries "Authorization: Bearer <operator key>". Declarations are
// TOML as in package decl; answers are JSON with the types of this package.
//
// A write is conditional on the version of the object that it replaces; version
// 0 means that there must be none. The header X-Nonce, a new random value for
// each write, makes a repetition of the write harmless: a write whose answer
// was lost is recognised by operator and nonce, here when the store's answer is
// lost, and in a repeated call when ours is lost. Errors have the form
// {"error":{"reason","message","run","retry_after_ms","conflict"}}, where run
// tells whether this call took effect: no, unknown or yes. A caller that got no
// answer to an earlier call with the same nonce has to take "no" for unknown.
package admin
