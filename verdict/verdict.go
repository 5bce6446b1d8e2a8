// Package verdict classifies errors by whether the request may have run on a backend server.
//
// Every error that reaches a caller has a Verdict. The zero value is
// MayHaveRun, so an unclassified error is never mistaken for a safe rejection.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict says what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means the request may have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means no backend server has started the request, and none will.
	NotRun
	// Ran means a backend server finished the request.
	Ran
)

// String returns the form used in the Samphire-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the form used in the Samphire-Verdict header. It returns MayHaveRun and an
// error for unknown text, so a corrupt header is never read as NotRun.
func Parse(s string) (Verdict, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "may-have-run":
		return MayHaveRun, nil
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q, expected not-run, ran or may-have-run", s)
}

type contextKey int

const (
	keyVerdict contextKey = iota
	keyRetryAfter
)

// New returns an error with verdict v, HTTP status and a message for the caller.
// No stack is captured, because rejections are frequent under overload.
func New(v Verdict, status int, format string, args ...any) error {
	msg := fmt.Sprintf(format, args...)
	return merry.New(msg, merry.NoCaptureStack(), merry.WithHTTPCode(status), merry.WithValue(keyVerdict, v))
}

// Wrap gives err a verdict and an HTTP status. A nil err stays nil.
func Wrap(err error, v Verdict, status int) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithHTTPCode(status), merry.WithValue(keyVerdict, v))
}

// WithRetryAfter attaches the delay after which a retry is worthwhile.
func WithRetryAfter(err error, d time.Duration) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(keyRetryAfter, d))
}

// Of returns the verdict of err: Ran for nil, MayHaveRun for an unclassified error.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	v, ok := merry.Value(err, keyVerdict).(Verdict)
	if !ok {
		return MayHaveRun
	}
	return v
}

// Status returns the HTTP status of err, 200 for nil, and 500 if none was given.
func Status(err error) int {
	if err == nil {
		return http.StatusOK
	}
	return merry.HTTPCode(err)
}

// RetryAfter returns the attached delay, or 0.
func RetryAfter(err error) time.Duration {
	d, _ := merry.Value(err, keyRetryAfter).(time.Duration)
	return d
}

// Is reports whether err carries verdict v.
func Is(err error, v Verdict) bool { return err != nil && Of(err) == v }

// Unavailable returns the usual error for a rejected request: verdict NotRun, status 503 and a Retry-After delay.
func Unavailable(retryAfter time.Duration, format string, args ...any) error {
	return WithRetryAfter(New(NotRun, http.StatusServiceUnavailable, format, args...), retryAfter)
}

// ErrCancelled marks a request that its caller cancelled.
var ErrCancelled = errors.New("cancelled by the caller")
