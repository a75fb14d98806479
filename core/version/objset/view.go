package objset

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// BucketCount is the number of buckets of a set.
const BucketCount = 64

// bucket holds the objects whose keys have the same bucket index.
type bucket struct {
	objects map[core.Key]core.Object
	digest  uint64
}

// view holds the contents of a set and implements the read methods of Set and
// Snapshot.
type view struct {
	buckets [BucketCount]*bucket
	digest  uint64
	count   int
}

// Snapshot is an immutable copy of the state of a set.
type Snapshot struct{ view }

// BucketIndex returns the index of the bucket that holds key.
func BucketIndex(key core.Key) int {
	return int(keyHash(key) % BucketCount)
}

func keyHash(key core.Key) uint64 {
	var buf [128]byte
	b := append(buf[:0], key.Kind...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, key.Name...))
}

func objectHash(obj *core.Object) uint64 {
	var buf [128]byte
	b := append(buf[:0], obj.Kind...)
	b = append(b, 0)
	b = append(b, obj.Name...)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint64(b, obj.Version)
	if obj.Deleted {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Len returns the number of objects, including tombstones.
func (v *view) Len() int { return v.count }

// Digest returns the digest of the whole set, which is zero if the set is empty.
func (v *view) Digest() uint64 { return v.digest }

// BucketDigests returns the digest of each bucket.
func (v *view) BucketDigests() [BucketCount]uint64 {
	var d [BucketCount]uint64
	for i, b := range v.buckets {
		if b != nil {
			d[i] = b.digest
		}
	}
	return d
}

// Get returns the object or tombstone of key.
func (v *view) Get(key core.Key) (core.Object, bool) {
	b := v.buckets[BucketIndex(key)]
	if b == nil {
		return core.Object{}, false
	}
	obj, ok := b.objects[key]
	return obj, ok
}

// Version returns the version of the object or tombstone of key, or zero if the
// key is unknown.
func (v *view) Version(key core.Key) uint64 {
	obj, _ := v.Get(key)
	return obj.Version
}

// BucketObjects returns the objects and tombstones of bucket i in unspecified
// order, and none if i is out of range.
func (v *view) BucketObjects(i int) []core.Object {
	if i < 0 || i >= BucketCount || v.buckets[i] == nil {
		return nil
	}
	objects := make([]core.Object, 0, len(v.buckets[i].objects))
	for _, obj := range v.buckets[i].objects {
		objects = append(objects, obj)
	}
	return objects
}

// Objects returns all objects and tombstones in unspecified order.
func (v *view) Objects() []core.Object {
	objects := make([]core.Object, 0, v.count)
	for _, b := range v.buckets {
		if b == nil {
			continue
		}
		for _, obj := range b.objects {
			objects = append(objects, obj)
		}
	}
	return objects
}
