package body_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/gate/conn/body"
)

// content returns the bytes of a body, nil if it was given up.
func content(b *body.Body) []byte {
	parts, release, ok := b.Acquire()
	if !ok {
		return nil
	}
	defer release()
	return bytes.Join(parts, nil)
}

// Guards against a body that is changed or cut, of any size and with or without a known
// length, and against bytes that stay reserved.
func TestRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		want := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 30000).Draw(t, "tens"))
		length := len(want)
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "parts") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		var s body.Store
		b, err := s.Read(r, length, len(want))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Len()).To(Equal(len(want)))
		g.Expect(bytes.Equal(content(b), want)).To(BeTrue())
		g.Expect(s.Used()).To(BeNumerically("<=", max(8<<10, len(want)+64<<10)))
		b.Close()
		b.Close()
		g.Expect(s.Used()).To(BeZero())
	})
}

// Guards against a body that ends early or exceeds its limit and is taken for a whole one.
func TestIncompleteBody(t *testing.T) {
	g := NewWithT(t)
	var s body.Store
	_, err := s.Read(strings.NewReader("body"), 5, 10)
	g.Expect(err).To(Equal(io.ErrUnexpectedEOF))
	_, err = s.Read(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 10)
	g.Expect(err).To(Equal(io.ErrUnexpectedEOF))
	_, err = s.Read(io.MultiReader(strings.NewReader("body"), iotest.ErrReader(iotest.ErrTimeout)), -1, 10)
	g.Expect(err).To(Equal(iotest.ErrTimeout))
	_, err = s.Read(strings.NewReader("body"), -1, 3)
	g.Expect(errors.Is(err, body.ErrTooLarge)).To(BeTrue())
	_, err = s.Read(strings.NewReader("body"), 4, 3)
	g.Expect(errors.Is(err, body.ErrTooLarge)).To(BeTrue())
	g.Expect(s.Used()).To(BeZero())
}

// Guards against bodies that exceed the limit of all of them, and against a new one that is
// refused although the response of an earlier request has begun.
func TestLimit(t *testing.T) {
	g := NewWithT(t)
	s := body.Store{Limit: 100 << 10}
	read := func() (*body.Body, error) {
		return s.Read(strings.NewReader(strings.Repeat("x", 40<<10)), 40<<10, 1<<20)
	}
	first, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	second, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = read()
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue())
	g.Expect(s.Used()).To(BeEquivalentTo(80 << 10))

	// A body that is being sent stays.
	first.Spare()
	_, release, ok := first.Acquire()
	g.Expect(ok).To(BeTrue())
	_, err = read()
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue())
	release()
	third, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Available()).To(BeFalse())
	g.Expect(content(first)).To(BeNil())
	g.Expect(second.Available()).To(BeTrue())
	g.Expect(s.Used()).To(BeEquivalentTo(80 << 10))

	// A request that ends while its body is sent still holds it.
	_, release, _ = second.Acquire()
	second.Close()
	g.Expect(s.Used()).To(BeEquivalentTo(80 << 10))
	release()
	first.Close()
	third.Close()
	g.Expect(s.Used()).To(BeZero())
}

// Guards against counts that are wrong after many requests at a time.
func TestConcurrentBodies(t *testing.T) {
	g := NewWithT(t)
	s := body.Store{Limit: 300 << 10}
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for range 50 {
				b, err := s.Read(strings.NewReader(strings.Repeat("x", 1000*(i+1))), -1, 1<<20)
				if err != nil {
					continue
				}
				if got := content(b); got != nil && len(got) != b.Len() {
					t.Errorf("%d of %d bytes", len(got), b.Len())
				}
				b.Spare()
				if got := content(b); got != nil && len(got) != b.Len() {
					t.Errorf("%d of %d bytes", len(got), b.Len())
				}
				b.Close()
			}
		})
	}
	wg.Wait()
	g.Expect(s.Used()).To(BeZero())
}
