//go:build linux

package integration

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
)

// A shutdown that closes connections in use, drops queued work, or leaves a caller without a clear answer fails here.
func TestGracefulShutdown(t *testing.T) {
	parallel(t)
	w := newWorld(t, 5)
	c := w.startCallers(8, true)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	owner := w.owner("west")
	var other *entryProcess
	for _, e := range w.without(owner) {
		if e != w.owner("north") && e != w.owner("south") {
			other = e
		}
	}
	for _, e := range []*entryProcess{other, owner} {
		w.terminate(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
		w.startEntry(e)
		w.waitReady(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	records := c.finish()
	w.judge(records, checker.P3, checker.P5, checker.P7)
	for _, r := range records {
		w.Expect(r.ErrKind).To(BeEmpty(), "%+v", r)
		w.Expect(r.Unclear()).To(BeFalse(), "%+v", r)
	}
}
