package entry

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/table"
)

// shareInput is a document of a size and the usage of an entry that owns a seventh of the pools, in which a quarter of
// the backers has demand.
func shareInput(pools, backers int) (*table.Document, map[string]dispatch.PoolUsage) {
	doc, usage := &table.Document{}, map[string]dispatch.PoolUsage{}
	for i := range backers {
		doc.Backers = append(doc.Backers, table.Backer{Name: fmt.Sprintf("b%03d", i), Weight: float64(1 + i%3), NominalQuota: 10 + i})
	}
	for i := range pools {
		name := fmt.Sprintf("p%02d", i)
		doc.Pools = append(doc.Pools, table.Pool{Name: name})
		if i%7 != 0 {
			continue
		}
		u := dispatch.PoolUsage{Slots: 180, Backers: map[string]dispatch.Usage{}}
		for j := i % 4; j < backers; j += 4 {
			u.Backers[doc.Backers[j].Name] = dispatch.Usage{InUse: j % 3, Waiting: j % 5}
		}
		usage[name] = u
	}
	return doc, usage
}

// A backer's parts over the pools with demand must add up to its part at this entry, and pools without demand must
// still know weight and limit: the first request there is judged by them.
func TestSharesPerPool(t *testing.T) {
	g := NewWithT(t)
	doc, usage := shareInput(20, 50)
	usage["gone"] = dispatch.PoolUsage{Backers: map[string]dispatch.Usage{"b001": {InUse: 1}, "gone": {InUse: 1}}}
	c := &control{parts: map[string]int{"b004": 7}}
	shares := c.shares(doc, usage)
	g.Expect(shares).To(HaveLen(20))
	for _, b := range doc.Backers {
		part := b.Limit()
		if b.Name == "b004" {
			part = 7
		}
		divided, demanded := 0, false
		for _, p := range doc.Pools {
			share := shares[p.Name][b.Name]
			g.Expect(share.Weight).To(Equal(b.Weight))
			u := usage[p.Name].Backers[b.Name]
			if u.InUse+u.Waiting == 0 {
				g.Expect(share).To(Equal(fairqueue.Share{Weight: b.Weight, Limit: part}), "%s in %s", b.Name, p.Name)
				continue
			}
			demanded = true
			divided += share.Limit
		}
		if demanded && b.Name != "b001" { // b001 also uses a pool that left the table
			g.Expect(divided).To(Equal(part), b.Name)
		}
	}
}

// BenchmarkShares measures what an entry computes every 250 ms; 7.5 ms each would use 3 % of a core.
func BenchmarkShares(b *testing.B) {
	for _, s := range []struct{ pools, backers int }{{5, 210}, {20, 210}, {40, 210}, {67, 5}, {67, 50}, {67, 100}, {67, 210}} {
		b.Run(fmt.Sprintf("pools=%d/backers=%d", s.pools, s.backers), func(b *testing.B) {
			b.ReportAllocs()
			doc, usage := shareInput(s.pools, s.backers)
			c := &control{parts: map[string]int{}}
			for b.Loop() {
				c.shares(doc, usage)
			}
		})
	}
}
