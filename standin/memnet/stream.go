package memnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is the number of bytes that one direction buffers before its writer blocks.
const windowBytes = 256 << 10

// stream is one direction of a connection.
type stream struct {
	mu      sync.Mutex
	data    []byte
	readErr error // returned to the reader once data is consumed
	// readerClosed is set once the reading end is closed, writerClosed once the writing end is.
	readerClosed, writerClosed  bool
	readDeadline, writeDeadline time.Time
	// changed is closed and replaced on each state change.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// update applies f under the mutex and wakes all waiters.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.notify()
}

// notify wakes all waiters, so that they check the state again; the caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitChange waits for a state change or the deadline.
func waitChange(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (s *stream) read(b []byte) (int, error) {
	for {
		n, changed, deadline, err := s.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		waitChange(changed, deadline)
	}
}

// tryRead reads without blocking. If there is nothing to read, it returns the change and the deadline to wait for.
func (s *stream) tryRead(b []byte) (n int, changed <-chan struct{}, deadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readerClosed:
		err = net.ErrClosed
	case expired(s.readDeadline):
		err = os.ErrDeadlineExceeded
	case len(s.data) > 0:
		n = copy(b, s.data)
		s.data = s.data[n:]
		s.notify()
	default:
		err = s.readErr
	}
	return n, s.changed, s.readDeadline, err
}

func (s *stream) write(b []byte) (int, error) {
	written := 0
	for {
		n, changed, deadline, err := s.tryWrite(b[written:])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		waitChange(changed, deadline)
	}
}

// tryWrite writes what fits into the window without blocking, and returns the change and the deadline to wait for.
func (s *stream) tryWrite(b []byte) (n int, changed <-chan struct{}, deadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.writerClosed:
		err = net.ErrClosed
	case expired(s.writeDeadline):
		err = os.ErrDeadlineExceeded
	case s.readerClosed, s.readErr != nil:
		err = os.NewSyscallError("write", syscall.EPIPE)
	default:
		n = min(windowBytes-len(s.data), len(b))
		s.data = append(s.data, b[:n]...)
		s.notify()
	}
	return n, s.changed, s.writeDeadline, err
}

func (s *stream) setReadDeadline(t time.Time) { s.update(func() { s.readDeadline = t }) }

func (s *stream) setWriteDeadline(t time.Time) { s.update(func() { s.writeDeadline = t }) }

// closeWithError makes the reader get err after the data already written.
func (s *stream) closeWithError(err error) {
	s.update(func() {
		if s.readErr == nil {
			s.readErr = err
		}
	})
}

// abortWithError discards unread data and makes the reader get err immediately.
func (s *stream) abortWithError(err error) { s.update(func() { s.data, s.readErr = nil, err }) }

func (s *stream) closeWriter() { s.update(func() { s.writerClosed = true }) }

// closeReader closes the reading end and reports whether data was left unread.
func (s *stream) closeReader() bool {
	unread := false
	s.update(func() {
		unread = len(s.data) > 0
		s.data, s.readerClosed = nil, true
	})
	return unread
}
