package observe

import (
	"io"
	"sync"
	"time"
)

const (
	// maxBatchBytes bounds the log lines that are written by one call, except for a longer line. A pipe takes up to this size as a
	// whole or not at all (PIPE_BUF), so that no line is cut or lost in part.
	maxBatchBytes = 4 << 10
	// batchDelay is how long a line waits for others. A process that is killed loses the lines of this time.
	batchDelay = 20 * time.Millisecond
)

// batchWriter combines log lines, since a write for each line is a large part of the cost of a line in a burst.
type batchWriter struct {
	w io.Writer

	mu      sync.Mutex
	pending []byte
}

// Write implements io.Writer. An error of the underlying writer is not reported.
func (b *batchWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBatchBytes {
		b.writePending()
	}
	if len(b.pending) == 0 {
		time.AfterFunc(batchDelay, b.flush)
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// flush writes the lines that wait.
func (b *batchWriter) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writePending()
}

func (b *batchWriter) writePending() {
	if len(b.pending) > 0 {
		_, _ = b.w.Write(b.pending)
		b.pending = b.pending[:0]
	}
}
