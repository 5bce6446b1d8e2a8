package fairqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/fairqueue"
	"samphirepoint/request"
)

// simulatedItem is an item with its run time in the simulated pool.
type simulatedItem struct {
	fairqueue.Item
	run time.Duration
}

// result is the outcome of a simulation.
type result struct {
	// waits holds the queueing times of the items that started before the end of the simulation.
	waits map[string][]time.Duration
	// used is the slot time per backer up to the end of the simulation.
	used map[string]time.Duration
}

// simulate runs items, sorted by arrival, on a pool in virtual time. key groups the waits.
func simulate(q fairqueue.Policy, items []simulatedItem, end time.Duration, key func(simulatedItem) string) result {
	res := result{waits: map[string][]time.Duration{}, used: map[string]time.Duration{}}
	byID := map[string]simulatedItem{}
	finish := map[string]time.Time{}
	now, last := start, start.Add(end)
	for {
		for it, ok := q.Next(now); ok; it, ok = q.Next(now) {
			started := byID[it.ID]
			finish[it.ID] = now.Add(started.run)
			res.waits[key(started)] = append(res.waits[key(started)], now.Sub(started.Arrived))
			res.used[started.Backer] += min(started.run, last.Sub(now))
		}
		// Advance to the next arrival or completion.
		next, done := last, ""
		for id, at := range finish {
			if at.Before(next) || at.Equal(next) && id < done {
				next, done = at, id
			}
		}
		if len(items) > 0 && items[0].Arrived.Before(next) {
			now = items[0].Arrived
			byID[items[0].ID] = items[0]
			q.Push(items[0].Item)
			items = items[1:]
			continue
		}
		if !next.Before(last) {
			return res
		}
		now = next
		q.Finish(done)
		delete(finish, done)
	}
}

// stream returns items of one backer and class with exponentially distributed interarrival and run times.
func stream(rnd *rand.Rand, backer string, class request.Class, perSecond float64, run, length time.Duration) []simulatedItem {
	var items []simulatedItem
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= length {
			return items
		}
		items = append(items, simulatedItem{
			Item: fairqueue.Item{ID: fmt.Sprintf("%s-%s-%d", backer, class, len(items)), Backer: backer, Class: class, Arrived: start.Add(at)},
			run:  time.Duration(rnd.ExpFloat64() * float64(run)),
		})
	}
}

func merge(streams ...[]simulatedItem) []simulatedItem {
	all := slices.Concat(streams...)
	slices.SortFunc(all, func(a, b simulatedItem) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

func quantile(waits []time.Duration, p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(p*float64(len(sorted)-1))]
}

func weighted(total, reserve int) fairqueue.Policy {
	q := fairqueue.NewWeighted()
	q.SetSlots(total, reserve)
	return q
}

func fifo(total int) fairqueue.Policy {
	q := fairqueue.NewFIFO()
	q.SetSlots(total, 0)
	return q
}

// Long audits that fill the pool must not cause head-of-line blocking of short checks. The p99 wait must stay below 1 s,
// since a shopper gives up within seconds (design document, section 1.2).
func TestLongWorkDoesNotBlockShortWork(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	items := merge(
		stream(rnd, "checks", request.Short, 40, 100*time.Millisecond, 5*time.Minute),
		stream(rnd, "audits", request.Long, 4, 20*time.Second, 5*time.Minute),
	)
	class := func(it simulatedItem) string { return it.Class.String() }
	before := simulate(fifo(72), items, 5*time.Minute, class)
	after := simulate(weighted(72, 10), items, 5*time.Minute, class)
	t.Logf("short wait p50, p99: FIFO %v, %v; Weighted %v, %v",
		quantile(before.waits["short"], 0.5), quantile(before.waits["short"], 0.99),
		quantile(after.waits["short"], 0.5), quantile(after.waits["short"], 0.99))
	g.Expect(quantile(before.waits["short"], 0.99)).To(BeNumerically(">", time.Second))
	g.Expect(quantile(after.waits["short"], 0.99)).To(BeNumerically("<", time.Second))
}

// A backer that sends five times the load and marks it urgent must not get more than its share.
func TestShareHoldsUnderFiveTimesLoad(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(3, 4))
	items := merge(
		stream(rnd, "loud", request.Urgent, 300, 200*time.Millisecond, 20*time.Second),
		stream(rnd, "quiet", request.Short, 60, 200*time.Millisecond, 20*time.Second),
	)
	share := func(r result) float64 {
		return r.used["quiet"].Seconds() / (r.used["quiet"] + r.used["loud"]).Seconds()
	}
	backer := func(it simulatedItem) string { return it.Backer }
	before := share(simulate(fifo(16), items, 20*time.Second, backer))
	after := share(simulate(weighted(16, 1), items, 20*time.Second, backer))
	t.Logf("share of slot time of the quiet backer: FIFO %.3f, Weighted %.3f", before, after)
	g.Expect(after).To(BeNumerically("~", 0.5, 1.0/16))
	g.Expect(before).NotTo(BeNumerically("~", 0.5, 1.0/16))
}

// A sustained load of short work must not starve long work of the same backer, in pools of any size down to one slot.
func TestLongWorkStartsUnderSustainedShortLoad(t *testing.T) {
	for _, total := range []int{1, 2, 16} {
		g := NewWithT(t)
		rnd := rand.New(rand.NewPCG(5, uint64(total)))
		items := merge(
			stream(rnd, "a", request.Short, 12*float64(total), 100*time.Millisecond, 2*time.Minute),
			stream(rnd, "a", request.Long, 0.1, 2*time.Second, time.Minute),
		)
		res := simulate(weighted(total, total/2), items, 2*time.Minute, func(it simulatedItem) string { return it.Class.String() })
		g.Expect(res.waits["long"]).NotTo(BeEmpty())
		g.Expect(quantile(res.waits["long"], 0)).To(BeNumerically("<", fairqueue.LongMaxWait+5*time.Second))
	}
}

// Items of one backer and class, including old and reclassified ones, must be served in deadline order.
func TestEarlierDeadlineGoesFirstWithinBacker(t *testing.T) {
	g := NewWithT(t)
	q := weighted(1, 0)
	q.Push(fairqueue.Item{ID: "patient", Backer: "a", Arrived: start})
	q.Push(fairqueue.Item{ID: "hurried", Backer: "a", Arrived: start.Add(time.Second), Deadline: start.Add(3 * time.Second)})
	it, ok := q.Next(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(it.ID).To(Equal("hurried"))
}

// BenchmarkPushNextFinish measures pushing, granting and finishing one item in a pool of 72 slots with a backlog of 20
// items per backer.
func BenchmarkPushNextFinish(b *testing.B) {
	for _, backers := range []int{5, 50, 210} {
		b.Run(fmt.Sprintf("backers=%d", backers), func(b *testing.B) {
			q := weighted(72, 10)
			classes := []request.Class{request.Urgent, request.Short, request.Short, request.Long}
			item := func(i int) fairqueue.Item {
				return fairqueue.Item{
					ID: fmt.Sprint(i), Backer: fmt.Sprint("backer", i%backers), Class: classes[i/backers%len(classes)],
					Arrived: start.Add(time.Duration(i) * time.Millisecond), Deadline: start.Add(time.Duration(i)*time.Millisecond + time.Hour),
				}
			}
			backlog := 20 * backers
			items := make([]fairqueue.Item, b.N+backlog)
			for i := range items {
				items[i] = item(i)
			}
			for _, it := range items[:backlog] {
				q.Push(it)
			}
			now := start.Add(time.Duration(backlog) * time.Millisecond)
			var running []string
			b.ReportAllocs()
			b.ResetTimer()
			for _, it := range items[backlog:] {
				now = now.Add(time.Millisecond)
				q.Push(it)
				for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
					running = append(running, next.ID)
				}
				q.Finish(running[0])
				running = running[1:]
			}
		})
	}
}

// BenchmarkMassRemove measures 10,000 simultaneous cancellations in random order in a queue of 10,000 items.
func BenchmarkMassRemove(b *testing.B) {
	const cancellations = 10000
	rnd := rand.New(rand.NewPCG(7, 8))
	for _, backers := range []int{5, 210} {
		b.Run(fmt.Sprintf("backers=%d", backers), func(b *testing.B) {
			order := rnd.Perm(cancellations)
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				q := weighted(72, 10)
				for i := range cancellations {
					q.Push(fairqueue.Item{ID: fmt.Sprint(i), Backer: fmt.Sprint(i % backers), Class: request.Long, Arrived: start, Deadline: start.Add(time.Duration(i))})
				}
				ids := make([]string, cancellations)
				for i, n := range order {
					ids[i] = fmt.Sprint(n)
				}
				b.StartTimer()
				for _, id := range ids {
					q.Remove(id)
				}
			}
		})
	}
}
