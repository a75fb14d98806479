package stand

import (
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	// packet is the size of a packet's payload in bytes.
	packet = 1448
	// tail is the number of packets at the end of a transfer whose loss shows only in a
	// retransmission timeout, since too few packets follow.
	tail = 3
	// timeout is the least time until a packet is sent once more, and resend that time
	// if packets that follow show the loss: about a round trip.
	timeout = 200 * time.Millisecond
	resend  = 2 * time.Millisecond
	// perPacket is the time of a packet while packets are lost: TCP then keeps about
	// seven of them under way in a round trip of 1 ms at a loss of three in a hundred.
	perPacket = 140 * time.Microsecond
	readSize  = 64 << 10
)

// Link forwards TCP connections to an address. While it is lossy, what comes back is
// delayed as by a link that loses packets.
type Link struct {
	Target string
	// Loss is the share of the packets that are lost while the link is lossy.
	Loss  float64
	lossy atomic.Bool
	ln    net.Listener
}

// Start listens on a free loopback port.
func (l *Link) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return nil
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetLossy begins or ends the loss of packets.
func (l *Link) SetLossy(on bool) { l.lossy.Store(on) }

// Close stops accepting connections.
func (l *Link) Close() { _ = l.ln.Close() }

func (l *Link) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	target, err := net.Dial("tcp", l.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		_, _ = io.Copy(target, client)
		_ = target.(*net.TCPConn).CloseWrite()
	}()
	buf := make([]byte, readSize)
	for {
		n, err := target.Read(buf)
		if n > 0 {
			time.Sleep(l.delay(n))
			if _, err := client.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay returns the delay of n bytes.
func (l *Link) delay(n int) time.Duration {
	if !l.lossy.Load() {
		return 0
	}
	packets := (n + packet - 1) / packet
	d := time.Duration(packets) * perPacket
	for i := range packets {
		if rand.Float64() >= l.Loss {
			continue
		}
		if isTail := n < readSize && i >= packets-tail; isTail || rand.Float64() < l.Loss {
			d += timeout
		} else {
			d += resend
		}
	}
	return d
}
