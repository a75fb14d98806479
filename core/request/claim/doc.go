// Package claim prevents non-idempotent requests from running twice. Each request
// has one object of kind core.KindClaim in the store, named after its service,
// team and idempotency key. The claim names the only attempt that may run.
//
// Rules for entries:
//   - An entry dispatches an attempt only after Open or Reassign has returned
//     it, once, on one connection, without retries by the HTTP client.
//   - An entry reports that a request was not run only if it has not dispatched
//     it, or after Revoke has succeeded.
//
// Rules for agents:
//   - An agent runs an attempt only if the attempt is addressed to its
//     incarnation and its ledger has no record of it. It records "begun" before
//     it runs the attempt.
//   - An agent that refuses a dispatch records a tombstone, whatever the reason
//     for the refusal. This includes a dispatch that is addressed to an earlier
//     incarnation: an attempt is dispatched only once, and this dispatch has
//     arrived here, so the attempt has not run.
//   - For any other attempt that is addressed to an earlier incarnation, the
//     agent responds to Query and Tombstone with the state "unknown".
//   - An agent keeps tombstones until it ends. It keeps an attempt that has run
//     until 10 min after the outcome is in the store.
//
// An attempt therefore runs at most once, because the ledger of a single
// incarnation decides. A key runs at most once, because a claim is reassigned
// only after a tombstone, with an update that is conditional on the claim's
// version.
package claim
