package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirepoint/instance"
)

// model tracks the waiting requests and grants held by the callers of a Scheduler.
type model struct {
	*harness
	fleet   Fleet
	waiting []*acquisition
	grants  []*Grant
}

// collect removes completed requests from waiting and keeps their grants.
func (m *model) collect() {
	m.runActions()
	waiting := m.waiting[:0]
	for _, a := range m.waiting {
		r, ok := poll(a)
		switch {
		case !ok:
			waiting = append(waiting, a)
		case r.grant != nil:
			m.grants = append(m.grants, r.grant)
		}
	}
	m.waiting = waiting
}

func (m *model) step(t *rapid.T) {
	pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	switch op := rapid.IntRange(0, 11).Draw(t, "op"); {
	case op < 4:
		req := m.newRequest()
		req.Request.Pool = pool
		req.Request.Backer = rapid.SampledFrom([]string{"b", "c"}).Draw(t, "backer")
		req.NoWait, req.Force = rapid.Bool().Draw(t, "noWait"), rapid.Bool().Draw(t, "force")
		req.MayOverflow = rapid.Bool().Draw(t, "overflow")
		m.waiting = append(m.waiting, m.acquire(req))
	case op < 7 && len(m.grants) > 0:
		i := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
		outcome := rapid.SampledFrom([]Outcome{NotSent, Succeeded, Refused, Leaving, Stopped}).Draw(t, "outcome")
		m.grants[i].Release(Result{Outcome: outcome})
		m.grants = append(m.grants[:i], m.grants[i+1:]...)
	case op == 7 && len(m.waiting) > 0:
		m.withdrawOne(rapid.IntRange(0, len(m.waiting)-1).Draw(t, "acquisition"))
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

// withdrawOne cancels a request that may have been granted already.
func (m *model) withdrawOne(i int) {
	a := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	m.remove(a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.withdraw(ctx, a)
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
		all = instanceRows(pool, rapid.IntRange(1, 4).Draw(t, "workers"), 2)
	}
	m.fleet.Pools = map[string][]instance.Instance{"p": m.fleet.Pools["p"], "q": m.fleet.Pools["q"]}
	m.fleet.Pools[pool] = all
	m.SetFleet(m.fleet)
}

func (m *model) check(t *rapid.T) {
	inUse, waiting := 0, 0
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
			t.Fatalf("pool %s: queue counts %d in use and %d waiting, pool has %d and %d", name, p.queue.InUse(), p.queue.Len(), len(p.running), len(p.waiting))
		}
		inUse += p.queue.InUse()
		waiting += len(p.waiting)
	}
	if inUse != len(m.grants) || waiting != len(m.waiting) {
		t.Fatalf("%d slots in use for %d grants, %d waiting of %d", inUse, len(m.grants), waiting, len(m.waiting))
	}
}

// checkAllSlotsGrantable ends all requests and checks that each slot can be granted again.
func (m *model) checkAllSlotsGrantable(t *rapid.T) {
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
	m.fleet.Pools = map[string][]instance.Instance{"p": instanceRows("p", 3, 2), "q": instanceRows("q", 3, 2)}
	m.SetFleet(m.fleet)
	m.runActions()
	m.now = m.now.Add(usedByOthersPeriod)
	for _, pool := range []string{"p", "q"} {
		for i := range 6 {
			req := m.newRequest()
			req.Request.Pool = pool
			if _, ok := poll(m.acquire(req)); !ok {
				t.Fatalf("pool %s: slot %d of 6 cannot be granted", pool, i+1)
			}
		}
		if _, ok := poll(m.acquire(m.newRequest())); ok && pool == "p" {
			t.Fatalf("pool %s: more slots granted than the workers have", pool)
		}
	}
}

// No slot may be counted twice or lost in random sequences of acquisitions, withdrawals, releases, membership changes
// and ownership changes.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{harness: newHarness(), fleet: fleetOf(true, 3, 2)}
		m.fleet.Pools["q"] = instanceRows("q", 2, 2)
		m.fleet.Owned["q"] = true
		m.SetFleet(m.fleet)
		m.runActions()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
		m.checkAllSlotsGrantable(t)
	})
}
