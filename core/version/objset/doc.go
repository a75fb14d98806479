// Package objset implements the configuration state of one node: a monotone set
// of versioned objects. An object is replaced only by a higher version of the
// same key, so the state depends neither on the order in which objects arrive
// nor on how often they arrive. Deletions are objects too (tombstones). For each
// kind, a set records the highest revision at which it was complete, so that it
// recognizes deleted objects whose tombstones it never received or has pruned.
//
// A set is divided into 64 buckets by the hash of the key. The digest of a
// bucket is the sum of the hashes of its (kind, name, version, deleted)
// tuples, and the digest of the set is the sum over all buckets; both are
// updated incrementally. Two sets with equal digests hold the same versions.
//
// A Set must be used by one goroutine only. Snapshots are immutable and may be
// shared. Buckets are copied on write: a snapshot copies 64 pointers, and the
// first change of a bucket after it copies the bucket.
package objset
