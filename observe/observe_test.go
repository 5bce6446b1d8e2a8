package observe

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blocked is an output that never takes anything until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a full pipe that stops the work, and against lines that are lost without a trace.
func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	g := NewWithT(t)
	out := blocked{make(chan struct{})}
	log, closeLog := Log(out, "n")
	done := make(chan struct{})
	go func() {
		for range 3 * logLines {
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

// Guards against metrics that the text leaves out.
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
