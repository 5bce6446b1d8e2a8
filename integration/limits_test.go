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

// TestBackerBelowItsLimit runs backers far below their limit over all pools. It guards against a division of the limit that
// leaves the owner of one pool no share, so that the backer gets no slot there. Without any fault its requests must not wait
// longer than they do after the loss of an owner.
func TestBackerBelowItsLimit(t *testing.T) {
	parallel(t)
	d := newDeploymentWith(t, 5, func(doc *table.Document) {
		for i := range doc.Backers {
			doc.Backers[i].BorrowingLimit = 24 // with the quota a limit of 48 slots; the load needs about 4 per backer
		}
	})
	c := d.startCallers(13, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	from := time.Now()
	sleepUntil(from.Add(15 * time.Second))
	to := time.Now()
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P5)
	for _, b := range d.doc.Backers {
		ofBacker := slices.DeleteFunc(slices.Clone(records), func(r load.Record) bool { return r.Backer != b.Name })
		for _, q := range d.doc.Queues {
			d.Expect(longestGap(ofBacker, q.Name, idempotent, from, to)).To(BeNumerically("<=", interruptionBound), "work of backer %s in queue %s", b.Name, q.Name)
		}
	}
}
