package fairqueue_test

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/fairqueue"
	"samphirepoint/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is an independent, unoptimized reference model of the queue.
type model struct {
	queue          *fairqueue.Weighted
	now            time.Time
	total, reserve int
	shares         map[string]fairqueue.Share
	waiting        map[string]fairqueue.Item
	running        map[string]fairqueue.Item
	pushed         int
	grants         int
	lastGrant      map[string]int
}

func (m *model) share(backer string) fairqueue.Share {
	if s, ok := m.shares[backer]; ok {
		return s
	}
	return fairqueue.Share{Weight: 1, Limit: 1 << 30}
}

func (m *model) count(match func(fairqueue.Item) bool) int {
	n := 0
	for _, it := range m.running {
		if match(it) {
			n++
		}
	}
	return n
}

func (m *model) inUse(backer string) int {
	return m.count(func(it fairqueue.Item) bool { return it.Backer == backer })
}

func (m *model) longInUse() int {
	return m.count(func(it fairqueue.Item) bool { return it.Class == request.Long })
}

// runnable reports whether the rules of the design document allow a waiting item to take a slot now.
func (m *model) runnable(it fairqueue.Item) bool {
	if len(m.running) >= m.total || m.inUse(it.Backer) >= m.share(it.Backer).Limit {
		return false
	}
	if it.Class != request.Long {
		return true
	}
	normal := m.total - min(m.reserve, m.total)
	if m.now.Sub(it.Arrived) > fairqueue.LongMaxWait {
		return m.longInUse() < max(normal+min(m.reserve, m.total)/2, 1)
	}
	return m.longInUse() < normal
}

// rank returns the position of an item's class in the service order.
func (m *model) rank(it fairqueue.Item) int {
	switch {
	case it.Class == request.Urgent:
		return 0
	case it.Class != request.Long:
		return 1
	case m.now.Sub(it.Arrived) > fairqueue.LongMaxWait:
		return 2
	default:
		return 3
	}
}

// first returns the backer with runnable work of a rank that has the lowest (slots in use + 1) / weight. Ties go to the
// backer served least recently.
func (m *model) first(rank int) string {
	first := ""
	for _, it := range m.waiting {
		if m.rank(it) != rank || !m.runnable(it) {
			continue
		}
		b := it.Backer
		mine := float64(m.inUse(b)+1) * m.share(first).Weight
		theirs := float64(m.inUse(first)+1) * m.share(b).Weight
		equal := math.Abs(mine-theirs) < 1e-9
		if first == "" || mine < theirs && !equal || equal && (m.lastGrant[b] < m.lastGrant[first] || m.lastGrant[b] == m.lastGrant[first] && b < first) {
			first = b
		}
	}
	return first
}

// checkGrant checks a grant before the model counts it. The backer must hold less than its share, by weight, of the
// slots available to backers with runnable work, and no other such backer may wait with an earlier class, except
// that aged long work goes first while long work holds less than a tenth of the slots.
func (m *model) checkGrant(t *rapid.T, it fairqueue.Item, backers map[string]bool) {
	held, weight := 0, 0.0
	for b := range backers {
		held += m.inUse(b)
		weight += m.share(b).Weight
	}
	surplus := func(b string) float64 {
		return float64(m.total-len(m.running)+held)*m.share(b).Weight/weight - float64(m.inUse(b))
	}
	if surplus(it.Backer) < -1e-6 {
		t.Fatalf("backer %s holds %d slots, %.2f above its share, and got one more while %d backers wait",
			it.Backer, m.inUse(it.Backer), -surplus(it.Backer), len(backers))
	}
	if first := m.first(m.rank(it)); surplus(first) > 1e-6 && first != it.Backer {
		t.Fatalf("%s got a slot before %s, which has a lower use by weight or was served earlier", it.Backer, first)
	}
	if m.rank(it) == 2 && m.longInUse() < max(m.total/10, 1) {
		return
	}
	for _, other := range m.waiting {
		if m.runnable(other) && surplus(other.Backer) > 1e-6 && m.rank(other) < m.rank(it) {
			t.Fatalf("%+v got a slot before %+v", it, other)
		}
	}
}

func (m *model) next(t *rapid.T) bool {
	backers := map[string]bool{}
	for _, it := range m.waiting {
		if m.runnable(it) {
			backers[it.Backer] = true
		}
	}
	it, ok := m.queue.Next(m.now)
	if ok != (len(backers) > 0) {
		t.Fatalf("Next = %v, but %d backers have runnable work", ok, len(backers))
	}
	if !ok {
		return false
	}
	if _, waits := m.waiting[it.ID]; !waits || !m.runnable(it) {
		t.Fatalf("Next returned %+v, which must not run now", it)
	}
	m.checkGrant(t, it, backers)
	delete(m.waiting, it.ID)
	m.running[it.ID] = it
	m.grants++
	m.lastGrant[it.Backer] = m.grants
	return true
}

func (m *model) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || m.queue.InUse() != len(m.running) {
		t.Fatalf("counts %d waiting, %d in use; want %d, %d", m.queue.Len(), m.queue.InUse(), len(m.waiting), len(m.running))
	}
	if p := m.queue.Position("a", request.Long); p.Ahead != len(m.waiting) || p.OwnAhead != m.queue.Usage()["a"].Waiting || p.Share <= 0 || p.Share > 1 {
		t.Fatalf("position %+v of a new item among %d waiting", p, len(m.waiting))
	}
	usage := map[string]fairqueue.Usage{}
	for _, it := range m.waiting {
		u := usage[it.Backer]
		usage[it.Backer] = fairqueue.Usage{InUse: u.InUse, Waiting: u.Waiting + 1}
	}
	for _, it := range m.running {
		u := usage[it.Backer]
		usage[it.Backer] = fairqueue.Usage{InUse: u.InUse + 1, Waiting: u.Waiting}
	}
	if got := m.queue.Usage(); !maps.Equal(got, usage) {
		t.Fatalf("usage %v, want %v", got, usage)
	}
}

func (m *model) push(t *rapid.T) {
	m.pushed++
	it := fairqueue.Item{
		ID:      fmt.Sprint(m.pushed),
		Backer:  rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "backer"),
		Class:   rapid.SampledFrom([]request.Class{request.Unclassified, request.Urgent, request.Short, request.Long}).Draw(t, "class"),
		Arrived: m.now,
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		it.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second)
	}
	if !m.queue.Push(it) || m.queue.Push(it) {
		t.Fatalf("Push must accept an item exactly once")
	}
	m.waiting[it.ID] = it
}

// id draws the ID of an item that may be waiting, running, finished or not pushed yet.
func (m *model) id(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, m.pushed+1).Draw(t, "id")) }

func (m *model) reclassify(t *rapid.T) {
	id := m.id(t)
	class := rapid.SampledFrom([]request.Class{request.Urgent, request.Short, request.Long}).Draw(t, "class")
	m.queue.Reclassify(id, class)
	for _, items := range []map[string]fairqueue.Item{m.waiting, m.running} {
		if it, ok := items[id]; ok {
			it.Class = class
			items[id] = it
		}
	}
}

func (m *model) setShares(t *rapid.T) {
	m.shares = map[string]fairqueue.Share{}
	for _, b := range []string{"a", "b", "c"} {
		m.shares[b] = fairqueue.Share{
			Weight: rapid.SampledFrom([]float64{0.001, 0.5, 1, 1, 1, 2, 3.333}).Draw(t, "weight"),
			Limit:  rapid.IntRange(0, 12).Draw(t, "limit"),
		}
	}
	m.queue.SetShares(m.shares)
}

func (m *model) setSlots(t *rapid.T) {
	m.total, m.reserve = rapid.IntRange(0, 16).Draw(t, "total"), rapid.IntRange(0, 8).Draw(t, "reserve")
	m.queue.SetSlots(m.total, m.reserve)
}

func (m *model) expire(t *rapid.T) {
	for _, it := range m.queue.Expired(m.now) {
		if !it.Deadline.Before(m.now) {
			t.Fatalf("%+v is not expired at %v", it, m.now)
		}
		delete(m.waiting, it.ID)
	}
	for _, it := range m.waiting {
		if !it.Deadline.IsZero() && it.Deadline.Before(m.now) {
			t.Fatalf("%+v is still waiting after its deadline", it)
		}
	}
}

// In any sequence of operations, no slot may stay idle while work is runnable, no backer may exceed its limit, its share
// or the cap on long work, and the counters must match the model.
func TestWeightedInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			queue: fairqueue.NewWeighted(), now: start,
			shares: map[string]fairqueue.Share{}, waiting: map[string]fairqueue.Item{}, running: map[string]fairqueue.Item{},
			lastGrant: map[string]int{},
		}
		m.setSlots(t)
		t.Repeat(map[string]func(*rapid.T){
			"":     m.check,
			"push": m.push,
			"next": func(t *rapid.T) { m.next(t) },
			"fill": func(t *rapid.T) {
				for m.next(t) {
				}
			},
			"finish": func(t *rapid.T) {
				id := m.id(t)
				m.queue.Finish(id)
				delete(m.running, id)
			},
			"requeue": func(t *rapid.T) {
				id := m.id(t)
				m.queue.Requeue(id)
				if it, ok := m.running[id]; ok {
					delete(m.running, id)
					m.waiting[id] = it
				}
			},
			"remove": func(t *rapid.T) {
				id := m.id(t)
				_, waits := m.waiting[id]
				if m.queue.Remove(id) != waits {
					t.Fatalf("Remove(%s) must report %v", id, waits)
				}
				delete(m.waiting, id)
			},
			"reclassify": m.reclassify,
			"setShares":  m.setShares,
			"setSlots":   m.setSlots,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": m.expire,
		})
	})
}

// An item that was requeued because no worker could take it must be the next of its backer, even if other items have an
// earlier deadline.
func TestRequeuedItemIsNext(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.NewWeighted()
	q.SetSlots(1, 0)
	q.Push(fairqueue.Item{ID: "first", Backer: "a", Arrived: start})
	q.Next(start)
	q.Push(fairqueue.Item{ID: "hurried", Backer: "a", Arrived: start, Deadline: start.Add(time.Second)})
	q.Requeue("first")
	it, ok := q.Next(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(it.ID).To(Equal("first"))
}

// Long work that has waited longer than LongMaxWait must get access to the reserve, but only to half of it.
func TestAgedLongWorkUsesUpperHalfOfReserve(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.NewWeighted()
	q.SetSlots(10, 4)
	for i := range 20 {
		q.Push(fairqueue.Item{ID: fmt.Sprint(i), Backer: "a", Class: request.Long, Arrived: start})
	}
	inUseAt := func(now time.Time) int {
		for _, ok := q.Next(now); ok; _, ok = q.Next(now) {
		}
		return q.InUse()
	}
	g.Expect(inUseAt(start.Add(fairqueue.LongMaxWait))).To(Equal(6))
	g.Expect(inUseAt(start.Add(fairqueue.LongMaxWait + 1))).To(Equal(8))
	q.SetSlots(1, 1)
	for i := range 8 {
		q.Finish(fmt.Sprint(i))
	}
	g.Expect(inUseAt(start.Add(fairqueue.LongMaxWait+1))).To(Equal(1), "a pool whose slots are all reserved")
}

// Aged long work must not take every grant of a pool with a single slot.
func TestAgedLongWorkAlternatesWithShort(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.NewWeighted()
	q.SetSlots(1, 0)
	for i := range 40 {
		q.Push(fairqueue.Item{ID: fmt.Sprint("long", i), Backer: "a", Class: request.Long, Arrived: start})
		q.Push(fairqueue.Item{ID: fmt.Sprint("short", i), Backer: "a", Class: request.Short, Arrived: start})
	}
	served := map[request.Class]int{}
	for range 40 {
		it, _ := q.Next(start.Add(time.Hour))
		served[it.Class]++
		q.Finish(it.ID)
	}
	g.Expect(served[request.Short]).To(Equal(20))
}

// maxMin returns the weighted max-min fair division of total slots, giving no backer more than its cap.
func maxMin(total float64, weights, caps []float64) []float64 {
	parts := make([]float64, len(weights))
	for open := true; open; {
		open = false
		remaining, weight := total, 0.0
		for i := range parts {
			if parts[i] == caps[i] {
				remaining -= caps[i]
			} else {
				weight += weights[i]
			}
		}
		for i := range parts {
			if parts[i] == caps[i] {
				continue
			}
			parts[i] = remaining * weights[i] / weight
			if parts[i] >= caps[i] {
				parts[i], open = caps[i], true
			}
		}
	}
	return parts
}

// For any weights, limits and demands, the slots of each backer must deviate by less than one slot from the weighted
// max-min fair division.
func TestSlotsFollowMaxMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, total := rapid.IntRange(1, 6).Draw(t, "backers"), rapid.IntRange(1, 72).Draw(t, "slots")
		q := fairqueue.NewWeighted()
		q.SetSlots(total, 0)
		shares, weights, caps := map[string]fairqueue.Share{}, make([]float64, n), make([]float64, n)
		for i := range n {
			weights[i] = float64(rapid.IntRange(1, 20).Draw(t, "weight"))
			limit, demand := rapid.IntRange(0, 72).Draw(t, "limit"), rapid.IntRange(0, 100).Draw(t, "demand")
			caps[i] = float64(min(limit, demand))
			shares[fmt.Sprint(i)] = fairqueue.Share{Weight: weights[i], Limit: limit}
			for j := range demand {
				q.Push(fairqueue.Item{ID: fmt.Sprint(i, j), Backer: fmt.Sprint(i), Arrived: start})
			}
		}
		q.SetShares(shares)
		for _, ok := q.Next(start); ok; _, ok = q.Next(start) {
		}
		usage := q.Usage()
		for i, part := range maxMin(float64(total), weights, caps) {
			if got := float64(usage[fmt.Sprint(i)].InUse); got <= part-1-1e-6 || got >= part+1+1e-6 {
				t.Fatalf("backer %d holds %v slots, max-min share %.3f", i, got, part)
			}
		}
	})
}

// A backer must not starve behind one that submits a new item whenever one is served: when the only slot is free neither
// holds a slot, so ties must go to the backer served least recently.
func TestTieGoesToBackerServedLeastRecently(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.NewWeighted()
	q.SetSlots(1, 0)
	served := map[string]int{}
	for i := range 20 {
		for _, b := range []string{"a", "b", "c"} {
			q.Push(fairqueue.Item{ID: b + fmt.Sprint(i), Backer: b, Arrived: start})
		}
		it, _ := q.Next(start)
		served[it.Backer]++
		q.Finish(it.ID)
		if i == 0 {
			q.SetShares(nil) // must keep the last grants of idle backers
		}
	}
	g.Expect(served).To(Equal(map[string]int{"a": 7, "b": 7, "c": 6}))
}
