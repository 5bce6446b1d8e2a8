package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirepoint/instance"
)

// model is what the callers of a Scheduler hold.
type model struct {
	*bench
	fleet   Fleet
	waiting []*ticket
	grants  []*Grant
}

// collect moves tickets that were answered.
func (m *model) collect() {
	m.drain()
	rest := m.waiting[:0]
	for _, t := range m.waiting {
		r, ok := answer(t)
		switch {
		case !ok:
			rest = append(rest, t)
		case r.grant != nil:
			m.grants = append(m.grants, r.grant)
		}
	}
	m.waiting = rest
}

func (m *model) step(t *rapid.T) {
	pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	switch op := rapid.IntRange(0, 11).Draw(t, "op"); {
	case op < 4:
		w := m.wish()
		w.Request.Pool = pool
		w.Request.Backer = rapid.SampledFrom([]string{"b", "c"}).Draw(t, "backer")
		w.NoWait, w.Force = rapid.Bool().Draw(t, "noWait"), rapid.Bool().Draw(t, "force")
		w.MayOverflow = rapid.Bool().Draw(t, "overflow")
		m.waiting = append(m.waiting, m.acquire(w))
	case op < 7 && len(m.grants) > 0:
		i := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
		outcome := rapid.SampledFrom([]Outcome{NotSent, Succeeded, Refused, Leaving, Stopped}).Draw(t, "outcome")
		m.grants[i].Release(Result{Outcome: outcome})
		m.grants = append(m.grants[:i], m.grants[i+1:]...)
	case op == 7 && len(m.waiting) > 0:
		m.withdrawOne(rapid.IntRange(0, len(m.waiting)-1).Draw(t, "ticket"))
	case op == 8:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		m.tick()
	case op == 9:
		m.changeMember(t, pool)
	case op == 10:
		m.fleet.Owned = map[string]bool{"p": rapid.Bool().Draw(t, "p owned"), "q": rapid.Bool().Draw(t, "q owned")}
		m.SetFleet(m.fleet)
	}
	m.collect()
}

// withdrawOne cancels a ticket that may be granted already.
func (m *model) withdrawOne(i int) {
	ticket := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	m.remove(ticket)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.withdraw(ctx, ticket)
}

func (m *model) changeMember(t *rapid.T, pool string) {
	all := append([]instance.Instance(nil), m.fleet.Pools[pool]...)
	i := rapid.IntRange(0, len(all)-1).Draw(t, "member")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		all[i].State = rapid.SampledFrom([]instance.State{instance.Serving, instance.Draining}).Draw(t, "state")
	case 1:
		all[i].Address = fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 9).Draw(t, "port"))
	case 2:
		all = rows(pool, rapid.IntRange(1, 4).Draw(t, "workers"), 2)
	}
	m.fleet.Pools = map[string][]instance.Instance{"p": m.fleet.Pools["p"], "q": m.fleet.Pools["q"]}
	m.fleet.Pools[pool] = all
	m.SetFleet(m.fleet)
}

func (m *model) check(t *rapid.T) {
	inUse, running := 0, 0
	for name, p := range m.pools {
		perMember := map[*member]int{}
		for _, r := range p.running {
			perMember[r.member]++
		}
		for r, n := range perMember {
			if n != r.state.InUse || n > r.state.Slots {
				t.Fatalf("pool %s worker %s: %d in use of %d, %d running", name, r.state.ID, r.state.InUse, r.state.Slots, n)
			}
		}
		for _, r := range p.members {
			if r.state.InUse != perMember[r] {
				t.Fatalf("pool %s worker %s: %d in use, %d running", name, r.state.ID, r.state.InUse, perMember[r])
			}
		}
		if p.queue.InUse() != len(p.running) || p.queue.Len() != len(p.waiting) {
			t.Fatalf("pool %s: queue %d/%d, pool %d/%d", name, p.queue.InUse(), p.queue.Len(), len(p.running), len(p.waiting))
		}
		inUse += p.queue.InUse()
		running += len(p.waiting)
	}
	if inUse != len(m.grants) || running != len(m.waiting) {
		t.Fatalf("%d slots in use for %d grants, %d waiting of %d", inUse, len(m.grants), running, len(m.waiting))
	}
}

// allGranted ends everything and checks that each slot can be granted again.
func (m *model) allGranted(t *rapid.T) {
	for _, g := range m.grants {
		g.Release(Result{Outcome: Succeeded})
	}
	m.grants = nil
	m.collect()
	for len(m.waiting) > 0 {
		m.withdrawOne(0)
	}
	m.collect()
	for _, g := range m.grants {
		g.Release(Result{Outcome: Succeeded})
	}
	m.grants = nil
	m.fleet.Owned = map[string]bool{"p": true, "q": true}
	m.fleet.Pools = map[string][]instance.Instance{"p": rows("p", 3, 2), "q": rows("q", 3, 2)}
	m.SetFleet(m.fleet)
	m.drain()
	m.now = m.now.Add(foreignPeriod)
	for _, pool := range []string{"p", "q"} {
		for i := range 6 {
			w := m.wish()
			w.Request.Pool = pool
			if _, ok := answer(m.acquire(w)); !ok {
				t.Fatalf("pool %s: slot %d of 6 is lost", pool, i+1)
			}
		}
		if _, ok := answer(m.acquire(m.wish())); ok && pool == "p" {
			t.Fatalf("pool %s: a slot too many", pool)
		}
	}
}

// Guards against slots that are counted twice or lost, over random sequences of acquires, withdrawals,
// releases, changes of members and changes of ownership.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{bench: newBench(), fleet: fleetOf(true, 3, 2)}
		m.fleet.Pools["q"] = rows("q", 2, 2)
		m.fleet.Owned["q"] = true
		m.SetFleet(m.fleet)
		m.drain()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
		m.allGranted(t)
	})
}
