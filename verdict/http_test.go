package verdict

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request being classified as not run although a connection was established.
func TestFromTransport(t *testing.T) {
	g := NewWithT(t)
	dial := fmt.Errorf("post: %w", &net.OpError{Op: "dial", Err: errors.New("refused")})
	read := fmt.Errorf("post: %w", &net.OpError{Op: "read", Err: errors.New("reset")})
	g.Expect(Of(FromTransport(dial))).To(Equal(NotRun))
	g.Expect(Of(FromTransport(read))).To(Equal(MayHaveRun))
	g.Expect(NeverSent(nil)).To(BeFalse())
}

// Guards against a Retry-After delay that is rounded down, so that callers retry too early, and against one where none was given.
func TestRetryAfterHeader(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{}
	SetRetryAfter(h, 0)
	g.Expect(h).To(BeEmpty())
	SetRetryAfter(h, 1200*time.Millisecond)
	g.Expect(h.Get("Retry-After")).To(Equal("2"))
	g.Expect(RetryAfter(WithRetryAfterHeader(errors.New("x"), h))).To(Equal(2 * time.Second))
	g.Expect(RetryAfter(WithRetryAfterHeader(errors.New("x"), http.Header{}))).To(BeZero())
}
