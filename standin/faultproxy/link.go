package faultproxy

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/network"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 16 << 10
	// maxBufferedChunks bounds the memory of a delayed or partitioned direction; beyond it the sender's window fills,
	// as in TCP.
	maxBufferedChunks = 64
)

// link is a client connection with the corresponding connection to the target.
type link struct {
	proxy          *Proxy
	client, server network.Conn
	blackHoled     atomic.Bool
	once           sync.Once
	done           chan struct{}
}

// reset closes both connections, with a TCP reset if data may be outstanding.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		network.Reset(l.client)
		network.Reset(l.server)
	})
}

// chunk is a piece of the stream; eof marks its orderly end, reset a reset by the sender.
type chunk struct {
	data       []byte
	readAt     time.Time
	eof, reset bool
}

// pump copies one direction of a link.
type pump struct {
	l        *link
	from, to network.Conn
	bytes    *atomic.Int64
	faults   func(Faults) Direction
}

func (p pump) run() {
	chunks := make(chan chunk, maxBufferedChunks)
	go p.read(chunks)
	var sent int64
	for {
		select {
		case <-p.l.done:
			return
		case c := <-chunks:
			if !p.awaitDelivery(c.readAt) {
				return
			}
			switch {
			case p.l.blackHoled.Load():
				if c.eof || c.reset {
					return
				}
				continue
			case c.reset:
				p.l.reset()
				return
			case c.eof:
				_ = p.to.CloseWrite() // fails only if the receiver has closed already
				return
			}
			if !p.write(c.data, &sent) {
				p.l.reset()
				return
			}
		}
	}
}

// read returns after the chunk with eof or reset, or when the link is closed.
func (p pump) read(chunks chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.from.Read(buf)
		c := chunk{data: buf[:n], readAt: time.Now()}
		if n > 0 && !p.enqueue(chunks, c) {
			return
		}
		if err != nil {
			p.enqueue(chunks, chunk{readAt: time.Now(), eof: errors.Is(err, io.EOF), reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func (p pump) enqueue(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-p.l.done:
		return false
	}
}

// awaitDelivery waits until the delay since readAt has passed and no partition holds the data back. It returns false if
// the link was closed.
func (p pump) awaitDelivery(readAt time.Time) bool {
	for {
		faults, changed := p.l.proxy.faultsAndChange()
		d := p.faults(faults)
		if p.l.blackHoled.Load() {
			return true
		}
		remaining := time.Until(readAt.Add(d.Delay.Std()))
		if !d.Cut && remaining <= 0 {
			return true
		}
		var due <-chan time.Time
		if !d.Cut {
			timer := time.NewTimer(remaining)
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-p.l.done:
			return false
		case <-changed:
		case <-due:
		}
	}
}

// write forwards data up to the truncation limit. It returns false if the link must be closed.
func (p pump) write(data []byte, sent *int64) bool {
	faults, _ := p.l.proxy.faultsAndChange()
	limit := p.faults(faults).TruncateAfter
	truncate := limit > 0 && *sent+int64(len(data)) > limit
	if truncate {
		data = data[:max(limit-*sent, 0)]
	}
	n, err := p.to.Write(data)
	*sent += int64(n)
	p.bytes.Add(int64(n))
	if truncate && err == nil {
		p.closeGracefully()
		return false
	}
	return err == nil
}

// closeGracefully half-closes the stream, so that the receiver reads the data before the end of the stream.
func (p pump) closeGracefully() {
	_ = p.to.CloseWrite()
	const linger = 50 * time.Millisecond // lets the receiver read before the reset of both sides
	select {
	case <-time.After(linger):
	case <-p.l.done:
	}
}
