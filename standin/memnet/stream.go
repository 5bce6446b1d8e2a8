package memnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how many bytes one direction holds before its writer waits.
const window = 256 << 10

// stream is one direction of a connection.
type stream struct {
	mu      sync.Mutex
	data    []byte
	readErr error // what the reader gets once data is used up
	// readerGone is set once the reading end is closed, writerGone once the writing end is.
	readerGone, writerGone      bool
	readDeadline, writeDeadline time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// change applies f and wakes whoever waits.
func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.wake()
}

// wake lets whoever waits look again; the caller holds mu.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits for a change or the deadline.
func await(changed <-chan struct{}, deadline time.Time) {
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
		await(changed, deadline)
	}
}

// tryRead returns what can be read now, or what to wait for.
func (s *stream) tryRead(b []byte) (n int, changed <-chan struct{}, deadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readerGone:
		err = net.ErrClosed
	case expired(s.readDeadline):
		err = os.ErrDeadlineExceeded
	case len(s.data) > 0:
		n = copy(b, s.data)
		s.data = s.data[n:]
		s.wake()
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
		await(changed, deadline)
	}
}

// tryWrite takes what fits into the window, or returns what to wait for.
func (s *stream) tryWrite(b []byte) (n int, changed <-chan struct{}, deadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.writerGone:
		err = net.ErrClosed
	case expired(s.writeDeadline):
		err = os.ErrDeadlineExceeded
	case s.readerGone, s.readErr != nil:
		err = os.NewSyscallError("write", syscall.EPIPE)
	default:
		n = min(window-len(s.data), len(b))
		s.data = append(s.data, b[:n]...)
		s.wake()
	}
	return n, s.changed, s.writeDeadline, err
}

func (s *stream) setReadDeadline(t time.Time) { s.change(func() { s.readDeadline = t }) }

func (s *stream) setWriteDeadline(t time.Time) { s.change(func() { s.writeDeadline = t }) }

// end lets the reader see err after what was written.
func (s *stream) end(err error) {
	s.change(func() {
		if s.readErr == nil {
			s.readErr = err
		}
	})
}

// fail lets the reader see err at once.
func (s *stream) fail(err error) { s.change(func() { s.data, s.readErr = nil, err }) }

func (s *stream) closeWriter() { s.change(func() { s.writerGone = true }) }

// abandon closes the reading end and reports whether bytes were left unread.
func (s *stream) abandon() bool {
	unread := false
	s.change(func() {
		unread = len(s.data) > 0
		s.data, s.readerGone = nil, true
	})
	return unread
}
