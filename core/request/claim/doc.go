// Package claim keeps non-idempotent requests from running twice. Each has one
// object of kind core.KindClaim in the store, named after service, team and
// idempotency key. The claim names the one attempt that may run.
//
// What an entry must keep to:
//   - It dispatches an attempt only after Open or Move has returned it, once,
//     on one connection, without retries by the HTTP client.
//   - It says that a request was not run only if it has not dispatched, or after
//     Void has returned a tombstone.
//
// What an agent must keep to:
//   - It runs an attempt only if the attempt is addressed to its incarnation
//     and its ledger has no record of it, and it records "begun" before.
//   - A dispatch that it refuses leaves a tombstone, for whatever reason it was
//     refused. This includes a dispatch addressed to an earlier incarnation:
//     the only dispatch of that attempt has arrived here, so none has run.
//   - For other attempts addressed to an earlier incarnation it answers
//     "unknown", to Query and to Tombstone.
//   - It keeps tombstones as long as it lives, and an attempt that has run until
//     10 min after the outcome is in the store.
//
// Then an attempt runs at most once, because one incarnation's ledger decides;
// and a key runs at most once, because the claim moves on only after a
// tombstone, by an update that is conditional on the claim's version.
package claim
