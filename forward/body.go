package forward

import (
	"bytes"
	"sync"
)

// requestBody is the body of a request to another entry. It tells whether the transport has taken all of it: before that,
// the other entry cannot have the whole request and does not run it.
type requestBody struct {
	mu     sync.Mutex
	reader *bytes.Reader
	sealed bool
}

// Read implements io.Reader. It fails once the body is sealed.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, errPeerUnresponsive
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (*requestBody) Close() error { return nil }

// taken reports whether the transport has taken the whole body.
func (b *requestBody) taken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader.Len() == 0
}

// seal prevents further reads and reports whether the transport has taken the whole body.
func (b *requestBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.reader.Len() == 0
}
