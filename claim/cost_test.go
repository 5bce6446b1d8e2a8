package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services/memtable"
)

// Guards against more than two row writes per non-idempotent request, the limit of the table (design document,
// section 3.2). The number of transactions depends on timing and is only logged.
func TestRowWritesPerRequest(t *testing.T) {
	for _, batch := range []int{1, 8, 64} {
		t.Run(fmt.Sprint("batch of ", batch), func(t *testing.T) {
			g := NewWithT(t)
			table := memtable.New()
			var rows atomic.Int64
			table.SetHook(func(c memtable.Call) memtable.Fault {
				rows.Add(int64(len(c.Writes)))
				return memtable.Fault{Delay: time.Millisecond}
			})
			s := newStore(t, table, "a")
			each := func(f func(i int)) {
				var all sync.WaitGroup
				for i := range batch {
					all.Add(1)
					go func() { defer all.Done(); f(i) }()
				}
				all.Wait()
			}
			claims := make([]*Claim, batch)
			each(func(i int) {
				c, err := s.Acquire(context.Background(), fmt.Sprint(Prefix, "b/", i), "h")
				if err != nil {
					t.Error(err)
				}
				claims[i] = c
			})
			each(func(i int) {
				if !s.Finish(claims[i], Outcome{Verdict: "ran", Status: 200}) {
					t.Errorf("claim %d is not recorded", i)
				}
			})
			g.Expect(rows.Load()).To(BeNumerically("==", 2*batch))
			g.Expect(table.Calls(memtable.OpGet)).To(BeZero())
			t.Logf("%d requests: %d rows in %d transactions, %.2f transactions a request", batch, rows.Load(),
				table.Calls(memtable.OpCommit), float64(table.Calls(memtable.OpCommit))/float64(batch))
		})
	}
}
