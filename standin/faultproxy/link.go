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
	// chunkBytes is the largest piece that is read at once.
	chunkBytes = 16 << 10
	// chunksHeld bounds the memory of a delayed or cut direction; beyond it the sender's window fills, as in TCP.
	chunksHeld = 64
)

// link is a client's connection with its counterpart at the target.
type link struct {
	proxy          *Proxy
	client, server network.Conn
	silent         atomic.Bool
	once           sync.Once
	done           chan struct{}
}

// reset ends both connections with a reset if bytes may be outstanding.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		network.Reset(l.client)
		network.Reset(l.server)
	})
}

// chunk is a piece of the stream; end marks its orderly end, broken a reset by the sender.
type chunk struct {
	data        []byte
	at          time.Time
	end, broken bool
}

// pump copies one direction of a link.
type pump struct {
	l        *link
	from, to network.Conn
	bytes    *atomic.Int64
	faults   func(Faults) Direction
}

func (p pump) run() {
	chunks := make(chan chunk, chunksHeld)
	go p.read(chunks)
	var sent int64
	for {
		select {
		case <-p.l.done:
			return
		case c := <-chunks:
			if !p.hold(c.at) {
				return
			}
			switch {
			case p.l.silent.Load():
				if c.end || c.broken {
					return
				}
				continue
			case c.broken:
				p.l.reset()
				return
			case c.end:
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

// read ends after the chunk with end or broken, or when the link is done.
func (p pump) read(chunks chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.from.Read(buf)
		c := chunk{data: buf[:n], at: time.Now()}
		if n > 0 && !p.offer(chunks, c) {
			return
		}
		if err != nil {
			p.offer(chunks, chunk{at: time.Now(), end: errors.Is(err, io.EOF), broken: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func (p pump) offer(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-p.l.done:
		return false
	}
}

// hold waits for the delay and the end of a cut. It returns false if the link ended.
func (p pump) hold(read time.Time) bool {
	for {
		faults, changed := p.l.proxy.state()
		d := p.faults(faults)
		if p.l.silent.Load() {
			return true
		}
		rest := time.Until(read.Add(d.Delay.D()))
		if !d.Cut && rest <= 0 {
			return true
		}
		var due <-chan time.Time
		if !d.Cut {
			timer := time.NewTimer(rest)
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

// write forwards data up to the truncation limit. It returns false if the link is to end.
func (p pump) write(data []byte, sent *int64) bool {
	faults, _ := p.l.proxy.state()
	limit := p.faults(faults).TruncateAfter
	truncate := limit > 0 && *sent+int64(len(data)) > limit
	if truncate {
		data = data[:max(limit-*sent, 0)]
	}
	n, err := p.to.Write(data)
	*sent += int64(n)
	p.bytes.Add(int64(n))
	if truncate && err == nil {
		p.end()
		return false
	}
	return err == nil
}

// end closes in order, so that the receiver sees the bytes before the end of the stream.
func (p pump) end() {
	_ = p.to.CloseWrite()
	const linger = 50 * time.Millisecond // lets the receiver read before the reset of both sides
	select {
	case <-time.After(linger):
	case <-p.l.done:
	}
}
