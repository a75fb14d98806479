package view

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core/wire"
)

const (
	// minPackedSize is the size in bytes from which a state is compressed. Many gates
	// pull a large configuration from one peer at the same time, and its link may take
	// longer for all of them than a pull may last.
	minPackedSize = 16 << 10
	// maxUnpackedSize bounds what a peer may send.
	maxUnpackedSize = 8 << 20
)

// pack compresses a state if it is large.
func pack(s *wire.KindState) *wire.KindState {
	if proto.Size(s) < minPackedSize {
		return s
	}
	data, err := proto.Marshal(&wire.KindState{Objects: s.GetObjects()})
	if err != nil {
		return s
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return s
	}
	if _, err := w.Write(data); err != nil || w.Close() != nil || b.Len() >= len(data) {
		return s
	}
	return &wire.KindState{Kind: s.GetKind(), Revision: s.GetRevision(), Complete: s.GetComplete(), Packed: b.Bytes()}
}

// unpack returns the state with its objects.
func unpack(s *wire.KindState) (*wire.KindState, error) {
	if len(s.GetPacked()) == 0 {
		return s, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(s.GetPacked())), maxUnpackedSize+1))
	if err != nil {
		return nil, trace.BadParameter("the state of kind %q cannot be decompressed: %s", s.GetKind(), err)
	}
	if len(data) > maxUnpackedSize {
		return nil, trace.LimitExceeded("the state of kind %q exceeds %d bytes", s.GetKind(), maxUnpackedSize)
	}
	var objects wire.KindState
	if err := proto.Unmarshal(data, &objects); err != nil {
		return nil, trace.BadParameter("the state of kind %q cannot be decoded: %s", s.GetKind(), err)
	}
	return &wire.KindState{Kind: s.GetKind(), Revision: s.GetRevision(), Complete: s.GetComplete(), Objects: objects.GetObjects()}, nil
}
