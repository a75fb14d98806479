// Package objset holds the state of one node's configuration: a monotone set
// of versioned objects. An object is replaced only by a higher version of the
// same key, so the state depends neither on the order nor on the number of
// times in which objects arrive. Deletions are objects too (tombstones). A set
// also knows the revision at which it was complete, so that it recognizes
// deleted objects whose tombstones it has never seen or no longer has.
//
// A set is divided into 64 buckets by the hash of the key. The digest of a
// bucket is the sum of the hashes of its (kind, name, version, deleted)
// tuples, and the total digest is the sum over all buckets; both are kept
// incrementally. Two sets with equal digests hold the same versions.
//
// A Set belongs to one goroutine. Snapshots are immutable and may be shared.
// Buckets are copied on write, so a snapshot costs 64 pointers, and a change
// after it costs a copy of one bucket.
package objset
