package verdict

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// retryAfterHeader holds a delay in whole seconds.
const retryAfterHeader = "Retry-After"

// NeverSent reports whether err occurred before a connection was established, so that no byte of the request was sent.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// FromTransport gives an error of an HTTP exchange its verdict: NotRun if the request was never sent, MayHaveRun otherwise.
func FromTransport(err error) error {
	if NeverSent(err) {
		return Wrap(err, NotRun, http.StatusServiceUnavailable)
	}
	return Wrap(err, MayHaveRun, http.StatusGatewayTimeout)
}

// SetRetryAfter sets the Retry-After header to a delay, rounded up to whole seconds. It does nothing if the delay isn't positive.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set(retryAfterHeader, strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
}

// WithRetryAfterHeader attaches the delay in a response's Retry-After header to err, if there is one.
func WithRetryAfterHeader(err error, h http.Header) error {
	s, parseErr := strconv.Atoi(h.Get(retryAfterHeader))
	if parseErr != nil {
		return err
	}
	return WithRetryAfter(err, time.Duration(s)*time.Second)
}
