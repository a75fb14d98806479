package strict

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	// maxChunkDigits limits the size of a chunk to numbers that an int64 holds.
	maxChunkDigits = 15
	// maxTrailerLines limits the lines after the last chunk.
	maxTrailerLines = 32
)

// chunkedReader reads a chunked body.
type chunkedReader struct {
	br *bufio.Reader
	// remaining is the rest of the current chunk. started is set once a chunk has begun,
	// whose line end follows its data.
	remaining int64
	started   bool
	err       error
}

// NewChunkedReader returns a reader of the body that begins with the next chunk in br. It
// reads up to the end of the trailer. Lines must fit into the buffer of br.
func NewChunkedReader(br *bufio.Reader) io.Reader { return &chunkedReader{br: br} }

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	if err != nil {
		c.err = cutOff(err)
	}
	return n, c.err
}

// nextChunk reads the line end of the last chunk and the size of the next one. It returns
// io.EOF after the last chunk and its trailer.
func (c *chunkedReader) nextChunk() error {
	if c.started {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return trace.BadParameter("a chunk is longer than its size")
		}
	}
	c.started = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, extension := line, []byte(";")
	if n := bytes.IndexAny(line, "; \t"); n >= 0 {
		size, extension = line[:n], bytes.TrimLeft(line[n:], " \t")
	}
	if !isText(line) || !bytes.HasPrefix(extension, []byte(";")) || len(size) > maxChunkDigits {
		return trace.BadParameter("the size of a chunk is invalid")
	}
	for _, d := range size {
		if d < '0' || d > '9' && (d|0x20 < 'a' || d|0x20 > 'f') {
			return trace.BadParameter("the size of a chunk is invalid")
		}
	}
	if c.remaining, err = strconv.ParseInt(string(size), 16, 64); err != nil {
		return trace.BadParameter("the size of a chunk is invalid")
	}
	if c.remaining > 0 {
		return nil
	}
	return c.skipTrailer()
}

// skipTrailer reads up to the blank line that ends the message and returns io.EOF.
func (c *chunkedReader) skipTrailer() error {
	for range maxTrailerLines + 1 {
		line, err := c.readLine()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		}
		if err := CheckTrailer(line); err != nil {
			return err
		}
	}
	return trace.LimitExceeded("the message has more than %d trailer lines", maxTrailerLines)
}

// readLine returns the next line without its line end, valid until the next read.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, trace.LimitExceeded("a line of a chunked body exceeds %d bytes", c.br.Size())
	case err != nil:
		return nil, cutOff(err)
	}
	return trimLineEnd(line)
}

// cutOff returns the error of a message that must not end here.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
