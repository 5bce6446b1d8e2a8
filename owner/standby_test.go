package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// partialStore is a store of which some parts are away: their calls are rejected, or with silent set get no response.
type partialStore struct {
	*memrows.Store
	mu     sync.Mutex
	away   map[string]bool
	silent bool
	// late are the transactions of silent parts, which are executed later.
	late []rows.Tx
}

func (s *partialStore) setAway(silent bool, parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.silent = map[string]bool{}, silent
	for _, p := range parts {
		s.away[p] = true
	}
}

// lookUp returns an error if the part is away, after the end of ctx if it is silent.
func (s *partialStore) lookUp(ctx context.Context, part string, tx *rows.Tx) error {
	s.mu.Lock()
	away, silent := s.away[part], s.silent
	if away && silent && tx != nil {
		s.late = append(s.late, *tx)
	}
	s.mu.Unlock()
	switch {
	case !away:
		return nil
	case silent:
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, 504)
	}
	return verdict.New(verdict.NotRun, 503, "part %s is away", part)
}

func (s *partialStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	if err := s.lookUp(ctx, tx.Expected[0].Part, &tx); err != nil {
		return 0, err
	}
	return s.Store.Transact(ctx, tx)
}

func (s *partialStore) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	if err := s.lookUp(ctx, part, nil); err != nil {
		return nil, 0, err
	}
	return s.Store.Read(ctx, table, part)
}

func (s *partialStore) executeLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.late {
		_, _ = s.Store.Transact(context.Background(), tx)
	}
	s.late = nil
}

func (s *partialStore) rowsIn(g *WithT, part string) int {
	list, _, err := s.Store.Read(context.Background(), TableJobs, part)
	g.Expect(err).NotTo(HaveOccurred())
	return len(list)
}

// Load pattern: the part of the store with a pool's rows is away while the rest answers. Guards against accepted work that stands still
// and new work that is refused meanwhile, and against changes of that time that a later owner doesn't know.
func TestPoolIsServedWhileItsPartIsAway(t *testing.T) {
	for name, silent := range map[string]bool{"rejecting": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, w := &partialStore{Store: memrows.New()}, newFakeWorkers(t)
			o := serveOn(t, s, claim(t, s.Store, 1), w, 1)
			g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
			s.setAway(silent, "pumps")
			eventuallyCompleted(g, w, o, job(1).ID)
			g.Eventually(func() error { return o.Submit(context.Background(), job(3)) }, time.Minute, 50*time.Millisecond).Should(Succeed())
			g.Expect(o.Submit(context.Background(), job(2))).To(Succeed())
			_, err := o.Cancel(context.Background(), job(2).ID, "")
			g.Expect(err).NotTo(HaveOccurred())
			s.executeLate()

			s.setAway(false)
			next := serveOn(t, s, claim(t, s.Store, 2), w, 2)
			eventuallyInState(g, next, job(1).ID, engine.Completed)
			eventuallyInState(g, next, job(2).ID, engine.Cancelled)
			eventuallyCompleted(g, w, next, job(3).ID)
			g.Eventually(func() int { return s.rowsIn(g, StandbyPart("pumps")) }, time.Minute, 5*time.Millisecond).Should(BeZero(), "the rows have returned to the pool's own part")
			g.Expect(s.rowsIn(g, "pumps")).To(Equal(3))
		})
	}
}

// Guards against a former owner that still writes to the standby part after another one has claimed the pool and read both parts.
func TestFormerOwnerCannotWriteToTheStandbyPart(t *testing.T) {
	g := NewWithT(t)
	s, w := &partialStore{Store: memrows.New()}, newFakeWorkers(t)
	former := serveOn(t, s, claim(t, s.Store, 1), w, 1)
	g.Expect(former.Submit(context.Background(), job(1))).To(Succeed())
	next := serveOn(t, s.Store, claim(t, s.Store, 2), w, 2)
	eventuallyInState(g, next, job(1).ID, engine.Running)
	s.setAway(false, "pumps")
	g.Eventually(func() error { return former.Submit(context.Background(), job(2)) }, time.Minute, 50*time.Millisecond).ShouldNot(Succeed())
	g.Eventually(former.Done(), time.Minute).Should(BeClosed())
	g.Expect(s.rowsIn(g, StandbyPart("pumps"))).To(BeZero())
}
