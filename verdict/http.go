package verdict

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter carries whole seconds.
const headerRetryAfter = "Retry-After"

// NeverSent reports whether err came up before a connection stood, so that no byte of the request was sent.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// FromTransport gives an error of an HTTP exchange its verdict: NotRun if it was never sent, MayHaveRun otherwise.
func FromTransport(err error) error {
	if NeverSent(err) {
		return Wrap(err, NotRun, http.StatusServiceUnavailable)
	}
	return Wrap(err, MayHaveRun, http.StatusGatewayTimeout)
}

// SetRetryAfter writes a delay into a header, rounded up to whole seconds. A delay that is not positive writes nothing.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
}

// WithRetryAfterHeader attaches the delay that a response's header names, if it names one.
func WithRetryAfterHeader(err error, h http.Header) error {
	s, parseErr := strconv.Atoi(h.Get(headerRetryAfter))
	if parseErr != nil {
		return err
	}
	return WithRetryAfter(err, time.Duration(s)*time.Second)
}
