package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/fairqueue"
	"samphirepoint/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is an independent, slow account of what the queue must hold.
type model struct {
	queue          *fairqueue.Weighted
	now            time.Time
	total, reserve int
	shares         map[string]fairqueue.Share
	waiting        map[string]fairqueue.Item
	running        map[string]fairqueue.Item
	pushed         int
}

func (m *model) share(backer string) fairqueue.Share {
	if s, ok := m.shares[backer]; ok {
		return s
	}
	return fairqueue.Share{Weight: 1, Limit: 1 << 30}
}

func (m *model) inUse(backer string) int {
	n := 0
	for _, it := range m.running {
		if it.Backer == backer {
			n++
		}
	}
	return n
}

func (m *model) longInUse() int {
	n := 0
	for _, it := range m.running {
		if it.Class == request.Long {
			n++
		}
	}
	return n
}

// runnable tells whether the rules of the design page allow a waiting item to take a slot now.
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

// checkGrant checks the share of the backer that got a slot, before the slot is counted: it holds less
// than its part, by weight, of the slots that backers with runnable work can divide.
func (m *model) checkGrant(t *rapid.T, it fairqueue.Item, backers map[string]bool) {
	held, weight := 0, 0.0
	for b := range backers {
		held += m.inUse(b)
		weight += m.share(b).Weight
	}
	share := float64(m.total-len(m.running)+held) * m.share(it.Backer).Weight / weight
	if float64(m.inUse(it.Backer)) >= share+1e-6 {
		t.Fatalf("backer %s holds %d slots of a share of %.2f and got one more while %d backers wait",
			it.Backer, m.inUse(it.Backer), share, len(backers))
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
		u.Waiting++
		usage[it.Backer] = u
	}
	for _, it := range m.running {
		u := usage[it.Backer]
		u.InUse++
		usage[it.Backer] = u
	}
	got := m.queue.Usage()
	if len(got) != len(usage) {
		t.Fatalf("usage %v, want %v", got, usage)
	}
	for b, u := range usage {
		if got[b] != u {
			t.Fatalf("usage of %s is %+v, want %+v", b, got[b], u)
		}
	}
}

func (m *model) push(t *rapid.T) {
	m.pushed++
	it := fairqueue.Item{
		ID:      fmt.Sprint(m.pushed),
		Backer:  rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "backer"),
		Class:   rapid.SampledFrom([]request.Class{request.Learned, request.Urgent, request.Short, request.Long}).Draw(t, "class"),
		Arrived: m.now,
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		it.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second)
	}
	if !m.queue.Push(it) || m.queue.Push(it) {
		t.Fatalf("Push must accept an item once")
	}
	m.waiting[it.ID] = it
}

// id draws an item that was pushed at some time; it may wait, run or be gone.
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
			Weight: float64(rapid.IntRange(1, 5000).Draw(t, "weight")) / 1000,
			Limit:  rapid.IntRange(0, 12).Draw(t, "limit"),
		}
	}
	m.queue.SetShares(m.shares)
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

// Guards against idle slots beside runnable work, slots beyond a limit or the cap on long work,
// a backer that passes its share, and accounts that drift after any order of operations.
func TestWeightedInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			queue: fairqueue.NewWeighted(), now: start,
			shares: map[string]fairqueue.Share{}, waiting: map[string]fairqueue.Item{}, running: map[string]fairqueue.Item{},
		}
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
			"setSlots": func(t *rapid.T) {
				m.total, m.reserve = rapid.IntRange(0, 16).Draw(t, "total"), rapid.IntRange(0, 8).Draw(t, "reserve")
				m.queue.SetSlots(m.total, m.reserve)
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": m.expire,
		})
	})
}

// Guards against a placement that reads the queue's order wrongly: a requeued item is the next of its backer.
func TestRequeuedItemIsNext(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.NewWeighted()
	q.SetSlots(2, 1)
	for i := range 3 {
		q.Push(fairqueue.Item{ID: fmt.Sprint(i), Backer: "a", Arrived: start.Add(time.Duration(i) * time.Second)})
	}
	first, _ := q.Next(start)
	q.Requeue(first.ID)
	again, ok := q.Next(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(again.ID).To(Equal(first.ID))
}
