//go:build linux

package integration

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/table"
)

// A backer that stays far below its limit over all pools gets no slot in one of them when the division of the limit leaves
// that pool's owner no part. Without any fault its work must not wait longer than it does for a dead owner.
func TestBackerBelowItsLimit(t *testing.T) {
	parallel(t)
	w := newWorldWith(t, 5, func(doc *table.Document) {
		for i := range doc.Backers {
			doc.Backers[i].BorrowingLimit = 24 // a limit of 48 slots; the load needs about 4 per backer
		}
	})
	c := w.startCallers(13, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	from := time.Now()
	awaitTime(from.Add(15 * time.Second))
	to := time.Now()
	records := c.finish()
	w.judge(records, checker.P3, checker.P5)
	for _, b := range w.doc.Backers {
		ofBacker := slices.DeleteFunc(slices.Clone(records), func(r load.Record) bool { return r.Backer != b.Name })
		for _, q := range w.doc.Queues {
			w.Expect(longestGap(ofBacker, q.Name, idempotent, from, to)).To(BeNumerically("<=", goesOnWithin), "work of backer %s in queue %s", b.Name, q.Name)
		}
	}
}
