// Package verdict says whether a request may have run on a backend server.
//
// Every error that reaches a caller carries a Verdict. The zero value is
// MayHaveRun, so an error that nobody classified is never taken for a safe refusal.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict is the system's knowledge about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means the request may have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means no backend server started the request, nor will one start it.
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

// Parse reads the form used in the Samphire-Verdict header. Unknown text gives
// MayHaveRun and an error, so a garbled header is never read as NotRun.
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
// Refusals are frequent under overload, so no stack is captured.
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

// WithRetryAfter attaches the time after which a repeat is worthwhile.
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

// Status returns the HTTP status of err, 500 if none was given.
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

// Unavailable is the common refusal of work that did not run.
func Unavailable(retryAfter time.Duration, format string, args ...any) error {
	return WithRetryAfter(New(NotRun, http.StatusServiceUnavailable, format, args...), retryAfter)
}

// ErrCancelled marks a request that its caller cancelled.
var ErrCancelled = errors.New("cancelled by the caller")
