package entry

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/table"
)

// shareInput returns a document with the given numbers of pools and backers, and the usage of an entry that owns a seventh
// of the pools; in each of these a quarter of the backers has demand.
func shareInput(pools, backers int) (*table.Document, map[string]dispatch.PoolUsage) {
	doc, usage := &table.Document{}, map[string]dispatch.PoolUsage{}
	for i := range backers {
		doc.Backers = append(doc.Backers, table.Backer{Name: fmt.Sprintf("b%03d", i), Weight: float64(1 + i%3), NominalQuota: 10 + i})
	}
	for i := range pools {
		name := fmt.Sprintf("p%02d", i)
		doc.Pools = append(doc.Pools, table.Pool{Name: name})
		doc.Queues = append(doc.Queues, table.Queue{Name: name, Pools: []string{name}})
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

// limitParts returns an entry's parts of the limits: those in named, and the full limit of each other backer.
func limitParts(doc *table.Document, named map[string]int) map[string]fairqueue.Share {
	parts := map[string]fairqueue.Share{}
	for _, b := range doc.Backers {
		limit, ok := named[b.Name]
		if !ok {
			limit = b.Limit()
		}
		parts[b.Name] = fairqueue.Share{Weight: b.Weight, Limit: limit}
	}
	return parts
}

// Guards against overflowed requests that do not count against the limit in their home pool: during a demand spike the
// backer would exceed its limit by the size of the spare pool.
func TestOverflowedRequestsCountAtTheirHomePool(t *testing.T) {
	g := NewWithT(t)
	doc, _ := shareInput(1, 1)
	usage := map[string]dispatch.PoolUsage{"p00": {Backers: map[string]dispatch.Usage{"b000": {InUse: 2, Overflowed: 3, Waiting: 9}}}}
	share := sharesPerPool(doc, usage, limitParts(doc, map[string]int{"b000": 8}))["p00"]["b000"]
	g.Expect(share.Limit).To(Equal(5))
}

// Guards against a backer's limits in the pools with demand that do not add up to its part at this entry, and against
// pools without demand that have no weight and limit: the first request there is admitted by them.
func TestSharesPerPool(t *testing.T) {
	g := NewWithT(t)
	doc, usage := shareInput(20, 50)
	usage["gone"] = dispatch.PoolUsage{Backers: map[string]dispatch.Usage{"b001": {InUse: 1}, "gone": {InUse: 1}}}
	doc.Pools = append(doc.Pools, table.Pool{Name: "spare", Spare: true})
	usage["spare"] = dispatch.PoolUsage{Backers: map[string]dispatch.Usage{"b002": {InUse: 3}}}
	shares := sharesPerPool(doc, usage, limitParts(doc, map[string]int{"b004": 7}))
	g.Expect(shares).To(HaveLen(21))
	g.Expect(shares["spare"]["b004"].Limit).To(Equal(doc.Backers[4].Limit()), "overflow is counted at the home pool")
	doc.Pools = doc.Pools[:20]
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
		if demanded {
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
			parts := limitParts(doc, nil)
			for b.Loop() {
				sharesPerPool(doc, usage, parts)
			}
		})
	}
}
