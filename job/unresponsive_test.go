package job

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// listen returns the address of a worker that takes calls and closes the connection without an answer.
func listen(t *testing.T, onCall func()) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		onCall()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
