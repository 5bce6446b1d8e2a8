package observe

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countingWriter counts the calls that write to it.
type countingWriter struct {
	mu    sync.Mutex
	out   bytes.Buffer
	calls int
	// longest is the size of the largest write.
	longest int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	w.longest = max(w.longest, len(p))
	return w.out.Write(p)
}

func (w *countingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// Guards against one write for each line in a burst, and against lines that are lost, reordered or kept back.
func TestLogLinesAreWrittenInBatches(t *testing.T) {
	g := NewWithT(t)
	w := &countingWriter{}
	log, closeLog := Log(w, "n")
	for n := range 1000 {
		log.Info().Msg(fmt.Sprintf("line %d.", n))
	}
	g.Eventually(w.text, time.Minute).Should(ContainSubstring("line 999."))
	lines := strings.Split(strings.TrimSpace(w.text()), "\n")
	g.Expect(lines).To(HaveLen(1000))
	for n, l := range lines {
		g.Expect(l).To(ContainSubstring(fmt.Sprintf("line %d.", n)))
	}
	g.Expect(w.calls).To(BeNumerically("<", 100))
	g.Expect(w.longest).To(BeNumerically("<=", maxBatchBytes), "a larger write to a pipe may be cut")
	log.Info().Msg("last")
	closeLog()
	g.Expect(w.text()).To(ContainSubstring("last"))
}
