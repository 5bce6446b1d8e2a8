package job

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// startUnresponsiveWorker returns the address of a worker that accepts calls and closes the connection without an answer.
func startUnresponsiveWorker(t *testing.T, onCall func()) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		onCall()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
