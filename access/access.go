// Package access decides whether a call may be served under the configuration that this daemon holds, and for which workspace. A decision
// is pure: the configuration and its age are arguments.
//
// The age of a configuration is counted from the beginning of the last read of the store that confirmed it. If a call arrived before the
// decision, and the configuration is younger than KeyAge, then a key that was withdrawn KeyAge or more before the call was sent
// is not in it. How long the answer takes after the decision doesn't matter, so a daemon that is paused in between breaks no bound.
package access

import (
	"net/http"
	"strings"
	"time"

	"samphirepoint/catalog"
	"samphirepoint/verdict"
)

// Limits bounds the age of the configuration by which a call with a key is judged.
type Limits struct {
	// KeyAge is the age from which on no key is accepted: it may have been withdrawn. 0 stands for no limit.
	KeyAge time.Duration
	// UnknownKeyAge is the age from which on an unknown key isn't rejected for good: it may have been added. 0 stands for no limit.
	UnknownKeyAge time.Duration
}

// retryAfter is the Retry-After delay of a daemon whose configuration is too old. Another daemon may serve the next attempt.
const retryAfter = time.Second

// Current reports whether a configuration of the given age may be used to accept keys.
func (l Limits) Current(age time.Duration) bool { return l.KeyAge == 0 || age < l.KeyAge }

// Check returns the workspace for which a call to a queue is made, or "" if the queue is public. An error has verdict not-run: status 401 if the
// call has no valid key, and 503 while that can't be told.
func (l Limits) Check(c *catalog.Catalog, q *catalog.Queue, authorization string, age time.Duration) (workspace string, err error) {
	if q.Public || !c.HasKeys() {
		return "", nil
	}
	if !l.Current(age) {
		return "", verdict.Unavailable(retryAfter, "the configuration was last confirmed %v ago: the key may have been withdrawn", age.Round(time.Millisecond))
	}
	k := key(authorization)
	if w, ok := c.WorkspaceOf(k); ok {
		return w.Name, nil
	}
	if k == "" {
		return "", verdict.New(verdict.NotRun, http.StatusUnauthorized, "the call has no API key")
	}
	if l.UnknownKeyAge > 0 && age >= l.UnknownKeyAge {
		return "", verdict.Unavailable(retryAfter, "the configuration was last confirmed %v ago: the key may have been added", age.Round(time.Millisecond))
	}
	return "", verdict.New(verdict.NotRun, http.StatusUnauthorized, "the API key is not in version %d of the configuration", c.Version)
}

// key returns the API key in the value of an Authorization header, or "".
func key(authorization string) string {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Token") {
		return ""
	}
	return strings.TrimSpace(key)
}
