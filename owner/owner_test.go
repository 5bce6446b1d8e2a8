package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// labour is a set of workers in memory that judges the promises: it fails the test if a task runs twice at once, or starts
// after it was done and its end forgotten.
type labour struct {
	mu      sync.Mutex
	t       *testing.T
	token   int64
	running map[string]engine.Order
	done    map[string]bool
	ended   []engine.EndedRow
	n       int64
	born    int64
	began   time.Time
	starts  int
	// loseStart makes the answer of a start get lost, by its number.
	loseStart func(n int) bool
}

func newLabour(t *testing.T) *labour {
	return &labour{t: t, running: map[string]engine.Order{}, done: map[string]bool{}, born: 77, began: time.Now()}
}

func (l *labour) fence(token int64) error {
	if token < l.token {
		return ErrFenced
	}
	l.token = token
	return nil
}

func (l *labour) RenewLease(_ context.Context, _ engine.Target, h LeaseRenewal) (engine.RenewalReply, error) {
	time.Sleep(2 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.fence(h.Token); err != nil {
		return engine.RenewalReply{}, err
	}
	a := engine.RenewalReply{Incarnation: l.born, ClockMS: time.Since(l.began).Milliseconds()}
	for _, o := range l.running {
		a.Running = append(a.Running, engine.RunningRow{Task: o.Task.String(), Run: o.Run, Percent: 100})
	}
	for _, e := range l.ended {
		if e.Seq > h.SeenUpto {
			a.Ended = append(a.Ended, e)
		}
	}
	return a, nil
}

func (l *labour) Start(_ context.Context, o engine.Order, token int64) (engine.StartOutcome, string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.fence(token); err != nil {
		return engine.StartRejected, "fence", err
	}
	task := o.Task.String()
	if r, ok := l.running[task]; ok {
		if r.Run == o.Run {
			return engine.StartAccepted, "", nil
		}
		l.t.Errorf("task %s: run %d starts while run %d is there", task, o.Run, r.Run)
	}
	if l.done[task] {
		l.t.Errorf("task %s: run %d starts after it was done", task, o.Run)
	}
	l.starts++
	l.running[task] = o
	if l.loseStart != nil && l.loseStart(l.starts) {
		return engine.StartUnknown, "", nil
	}
	return engine.StartAccepted, "", nil
}

func (l *labour) Stop(_ context.Context, o engine.Order, token int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.fence(token); err != nil {
		return err
	}
	if r, ok := l.running[o.Task.String()]; ok && r.Run == o.Run {
		l.end(r, engine.EndStopped)
	}
	return nil
}

func (l *labour) Throttle(context.Context, engine.Order, int64) error { return nil }

func (l *labour) end(o engine.Order, how engine.EndReason) {
	delete(l.running, o.Task.String())
	l.n++
	l.done[o.Task.String()] = l.done[o.Task.String()] || how == engine.EndDone
	l.ended = append(l.ended, engine.EndedRow{Seq: l.n, Task: o.Task.String(), Run: o.Run, Reason: how})
}

// finish ends all that runs.
func (l *labour) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.running {
		l.end(o, engine.EndDone)
	}
}

func claim(t *testing.T, s *memrows.Store, token int64) int64 {
	key := rows.Key{Table: TableOwners, Part: "pumps", Name: OwnerKey}
	value, _ := json.Marshal(Claim{Node: "a", Token: token})
	for {
		ver, err := s.Transact(context.Background(), rows.Tx{Writes: []rows.Write{{Key: key, Value: value}}})
		if err == nil {
			return ver
		}
	}
}

func serve(t *testing.T, s *memrows.Store, l *labour, token int64) *Owner {
	return serveOn(t, s, claim(t, s, token), l, token)
}

func serveOn(t *testing.T, s rows.Store, claimVer int64, l *labour, token int64) *Owner {
	began := time.Now()
	o := New(context.Background(), Settings{
		Pool: "pumps", Token: token, ClaimVer: claimVer, Store: s, Workers: l, Options: engine.DefaultOptions(),
		Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) },
	})
	go func() { _ = o.Run() }()
	o.SetQueues([]engine.Queue{{Name: "q", Attempts: 3, Stretch: 2, TargetMS: 500}})
	o.SetRoster([]engine.WorkerInfo{{ID: "i-1", Address: "x", Capacity: engine.Resources{CPU: 64000, Mem: 64000}, Labels: []string{"a", "r-1"}}})
	t.Cleanup(o.Stop)
	return o
}

func job(n int) engine.Spec {
	return engine.Spec{ID: fmt.Sprintf("%016x", n), Queue: "q", Steps: []engine.Step{
		{Count: 3, Need: engine.Resources{CPU: 1000, Mem: 100}}, {Count: 2, Need: engine.Resources{CPU: 1000, Mem: 100}, After: []int{0}},
	}}
}

func eventually(g *WithT, o *Owner, id string, want engine.State) {
	g.Eventually(func() engine.State {
		s, _, _ := o.State(context.Background(), id)
		return s
	}, time.Minute, 5*time.Millisecond).Should(Equal(want))
}

// completes ends what runs until a job is completed.
func completes(g *WithT, l *labour, o *Owner, id string) {
	g.Eventually(func() engine.State {
		l.finish()
		st, _, _ := o.State(context.Background(), id)
		return st
	}, time.Minute, 5*time.Millisecond).Should(Equal(engine.Completed))
}

// Guards against a job that is accepted but not stored, and against one that runs although it was refused.
func TestRefusedJobsAreNotStored(t *testing.T) {
	g := NewWithT(t)
	s, l := memrows.New(), newLabour(t)
	o := serve(t, s, l, 1)
	g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
	completes(g, l, o, job(1).ID)
	away := true
	var mu sync.Mutex
	s.Fault = func(call string) memrows.Fault {
		mu.Lock()
		defer mu.Unlock()
		return memrows.Fault{Refuse: away && call == "transact"}
	}
	err := o.Submit(context.Background(), job(2))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	mu.Lock()
	away = false
	mu.Unlock()
	list, _, _ := s.Read(context.Background(), TableJobs, "pumps")
	g.Expect(list).To(HaveLen(1))
	// Guards against refusals that go on although the store is back, when no work was left to write.
	g.Eventually(func() error { return o.Submit(context.Background(), job(3)) }, time.Minute, 50*time.Millisecond).Should(Succeed())
	_, known, _ := o.State(context.Background(), job(2).ID)
	g.Expect(known).To(BeFalse())
}

// Guards against lost work and second runs as owners succeed each other while the store loses answers and starts go
// unanswered. The faults are drawn from the seed.
func TestJobsEndOnceThroughTakeovers(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			s, l := memrows.New(), newLabour(t)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 1))
			draw := func(share float64) bool {
				mu.Lock()
				defer mu.Unlock()
				return rnd.Float64() < share
			}
			s.Fault = func(call string) memrows.Fault {
				if call != "transact" {
					return memrows.Fault{}
				}
				return memrows.Fault{LoseResponse: draw(0.15), LoseRequest: draw(0.1), Refuse: draw(0.1)}
			}
			l.loseStart = func(int) bool { return draw(0.2) }
			accepted := map[string]bool{}
			var o *Owner
			for token := int64(1); token <= 5; token++ {
				o = serve(t, s, l, token)
				for n := range 6 {
					spec := job(int(token)*100 + n)
					if o.Submit(context.Background(), spec) == nil {
						accepted[spec.ID] = true
					}
					if draw(0.5) {
						l.finish()
					}
				}
			}
			for id := range accepted {
				completes(g, l, o, id)
			}
		})
	}
}

// Guards against an owner that goes on after another one has the pool.
func TestSucceededOwnerEnds(t *testing.T) {
	g := NewWithT(t)
	s, l := memrows.New(), newLabour(t)
	first := serve(t, s, l, 1)
	g.Expect(first.Submit(context.Background(), job(1))).To(Succeed())
	second := serve(t, s, l, 2)
	g.Eventually(first.Done(), time.Minute).Should(BeClosed())
	l.finish()
	g.Expect(second.Submit(context.Background(), job(2))).To(Succeed())
	completes(g, l, second, job(1).ID)
}

// Guards against a cancel that is answered before it is stored.
func TestCancelIsStoredBeforeItsAnswer(t *testing.T) {
	g := NewWithT(t)
	s, l := memrows.New(), newLabour(t)
	o := serve(t, s, l, 1)
	g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
	known, err := o.Cancel(context.Background(), job(1).ID)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeTrue())
	list, _, _ := s.Read(context.Background(), TableJobs, "pumps")
	var rec engine.Record
	g.Expect(json.Unmarshal(list[0].Value, &rec)).To(Succeed())
	g.Expect(rec.State).To(Equal(engine.Cancelled))
	known, err = o.Cancel(context.Background(), "00000000000000ff")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeFalse())
	eventually(g, o, job(1).ID, engine.Cancelled)
}
