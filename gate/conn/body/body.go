// Package body keeps the bodies of requests in memory, within one limit for all of them.
//
// A body is kept until its request has ended, since the request may have to be sent once
// more. If memory is short, the bodies of requests whose response has begun are given up
// first: those requests can no longer be sent again, but new ones need not be refused.
package body

import (
	"container/list"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// minSegment and maxSegment limit the size in bytes of a part of a body. A body is
	// kept in parts, since a buffer that grows with it would take twice its size.
	minSegment = 4 << 10
	maxSegment = 64 << 10
)

// Store bounds the bytes of all bodies. Its zero value has no limit. Limit must be set
// before use.
type Store struct {
	// Limit is the maximum number of bytes; zero means no limit.
	Limit int64

	mu   sync.Mutex
	used int64
	// spare holds the bodies that may be given up, the oldest first.
	spare list.List
}

// Used returns the number of bytes in use.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// take reserves n bytes. It gives up spare bodies if there is no room otherwise, and reports
// whether there is.
func (s *Store) take(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.spare.Front(); e != nil && s.Limit > 0 && s.used+int64(n) > s.Limit; {
		b := e.Value.(*Body)
		e = e.Next()
		if b.readers == 0 {
			s.drop(b)
		}
	}
	if s.Limit > 0 && s.used+int64(n) > s.Limit {
		return false
	}
	s.used += int64(n)
	return true
}

// drop gives up a body. s.mu must be locked.
func (s *Store) drop(b *Body) {
	if b.entry != nil {
		s.spare.Remove(b.entry)
		b.entry = nil
	}
	s.used -= b.reserved
	b.segments, b.reserved, b.dropped = nil, 0, true
}

// Body is the body of one request. A nil Body is empty.
type Body struct {
	store *Store
	size  int

	// The fields below are guarded by store.mu once the body has been read.

	segments [][]byte
	reserved int64
	// readers counts the uses that have not ended. entry is the body's place among the
	// spare ones.
	readers int
	dropped bool
	entry   *list.Element
	// closed is set once the request has ended while the body is in use.
	closed bool
}

// Read reads a body of up to limit bytes from r. Its length is known if it is not negative.
// It fails with ErrNoMemory if the store has no room, with ErrTooLarge if the body exceeds
// the limit, and otherwise with the error of r.
func (s *Store) Read(r io.Reader, length, limit int) (*Body, error) {
	b := &Body{store: s}
	if length > limit {
		return nil, ErrTooLarge
	}
	next := minSegment
	if length >= 0 {
		next = min(length, maxSegment)
	}
	for length < 0 || b.size < length {
		if !s.take(next) {
			b.Close()
			return nil, ErrNoMemory
		}
		b.reserved += int64(next)
		segment := make([]byte, next)
		n, err := fill(segment, r)
		b.segments = append(b.segments, segment[:n])
		b.size += n
		switch {
		case b.size > limit:
			b.Close()
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && length < 0:
			return b, nil
		case errors.Is(err, io.EOF) && b.size < length:
			b.Close()
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			b.Close()
			return nil, err
		}
		if next = min(2*next, maxSegment); length >= 0 {
			next = min(next, length-b.size)
		}
	}
	return b, nil
}

// fill reads until p is full or r returns an error.
func fill(p []byte, r io.Reader) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// The errors of Store.Read: the body exceeds its limit, or the store has no room for it.
var (
	ErrTooLarge = trace.BadParameter("the body is too large")
	ErrNoMemory = trace.LimitExceeded("no memory is left for the body")
)

// Len returns the number of bytes of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Available reports whether the body can be sent.
func (b *Body) Available() bool {
	if b.Len() == 0 {
		return true
	}
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return !b.dropped
}

// Acquire returns the body for one use, which ends with a call of release. It returns false
// if the body was given up. The caller may change the slice but not the bytes.
func (b *Body) Acquire() (parts net.Buffers, release func(), ok bool) {
	if b.Len() == 0 {
		return nil, func() {}, true
	}
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.dropped {
		return nil, nil, false
	}
	b.readers++
	return append(net.Buffers(nil), b.segments...), b.release, true
}

func (b *Body) release() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.readers--; b.readers == 0 && b.closed {
		b.store.drop(b)
	}
}

// Spare allows the store to give up the body if it is short of memory.
func (b *Body) Spare() {
	if b.Len() == 0 {
		return
	}
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.entry == nil && !b.dropped {
		b.entry = b.store.spare.PushBack(b)
	}
}

// Close gives up the body once its request has ended, and the uses that have not.
func (b *Body) Close() {
	if b == nil {
		return
	}
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	switch {
	case b.dropped:
	case b.readers > 0:
		b.closed = true
	default:
		b.store.drop(b)
	}
}
