package observe

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockingWriter is a writer that blocks until it is released.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a full pipe blocking the process, and against log lines being dropped without being counted.
func TestLogNeverBlocksAndCountsDroppedLines(t *testing.T) {
	g := NewWithT(t)
	out := blockingWriter{make(chan struct{})}
	log, closeLog := Log(out, "n")
	done := make(chan struct{})
	go func() {
		for range 3 * logBufferLines {
			log.Info().Msg("line")
		}
		close(done)
	}()
	g.Eventually(done, time.Minute).Should(BeClosed())
	close(out.release)
	closeLog()
	g.Eventually(func() string {
		r := httptest.NewRecorder()
		Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
		return r.Body.String()
	}, time.Minute).Should(ContainSubstring("log.dropped "))
}

// Guards against metrics missing from the text.
func TestMetricsAreServedAsText(t *testing.T) {
	g := NewWithT(t)
	Count("test.counter")
	RecordDuration("test.time", 2*time.Millisecond)
	r := httptest.NewRecorder()
	Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(r.Body.String()).To(ContainSubstring("test.counter 1\n"))
	g.Expect(strings.Count(r.Body.String(), "test.time.")).To(Equal(4))
	g.Expect(r.Body.String()).To(ContainSubstring("test.time.max 2000\n"))
}
