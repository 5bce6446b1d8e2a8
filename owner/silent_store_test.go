package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// outcome is the answer to a submission.
type outcome struct {
	err  error
	took time.Duration
}

// submit submits a job in the background.
func submit(o *Owner, spec engine.Spec) <-chan outcome {
	answer := make(chan outcome, 1)
	go func() {
		began := time.Now()
		err := o.Submit(context.Background(), spec)
		answer <- outcome{err, time.Since(began)}
	}()
	return answer
}

// endOwner ends an owner and waits for its calls, as a synctest bubble requires.
func endOwner(o *Owner) {
	o.Stop()
	<-o.Done()
	time.Sleep(time.Minute)
}

func expectNotRun(g *WithT, a outcome, within time.Duration) {
	g.Expect(verdict.Is(a.err, verdict.NotRun)).To(BeTrue(), "%v", a.err)
	g.Expect(verdict.Status(a.err)).To(Equal(503))
	g.Expect(a.took).To(BeNumerically("<", within))
}

// Load pattern: the whole store is silent. Guards against submissions that wait for their whole time limit and then end as may-have-run,
// although their record was never sent, so that their callers can't repeat them.
func TestUnsentJobsAreRefusedWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, w := &partialStore{Store: memrows.New()}, newFakeWorkers(t)
		o := serveOn(t, s, claim(t, s.Store, 1), w, 1)
		defer endOwner(o)
		g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
		eventuallyInState(g, o, job(1).ID, engine.Running)
		time.Sleep(time.Second)

		s.setAway(true, "pumps", StandbyPart("pumps"))
		sent := submit(o, job(2))
		time.Sleep(100 * time.Millisecond)
		unsent := submit(o, job(3))
		time.Sleep(900 * time.Millisecond)
		late := submit(o, job(4))

		expectNotRun(g, <-unsent, 800*time.Millisecond)
		expectNotRun(g, <-late, 10*time.Millisecond)
		a := <-sent
		g.Expect(verdict.Is(a.err, verdict.MayHaveRun)).To(BeTrue(), "%v", a.err)

		s.setAway(false)
		s.executeLate()
		eventuallyCompleted(g, w, o, job(1).ID)
		eventuallyCompleted(g, w, o, job(2).ID)
		g.Expect(o.Submit(context.Background(), job(5))).To(Succeed())
		for _, refused := range []engine.Spec{job(3), job(4)} {
			_, known, err := o.State(context.Background(), refused.ID, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(known).To(BeFalse(), "a job that was refused as not run doesn't run")
		}
	})
}

// Guards against the refusal of jobs while only the pool's own part is silent: the standby part can take them.
func TestJobsAreAcceptedWhileOnlyThePrimaryPartIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, w := &partialStore{Store: memrows.New()}, newFakeWorkers(t)
		o := serveOn(t, s, claim(t, s.Store, 1), w, 1)
		defer endOwner(o)
		g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
		s.setAway(true, "pumps")
		for n := range 40 {
			time.Sleep(50 * time.Millisecond)
			a := submit(o, job(10+n))
			defer func() {
				got := <-a
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.took).To(BeNumerically("<", 700*time.Millisecond))
			}()
		}
	})
}

// slowStore answers each call after a delay.
type slowStore struct {
	*memrows.Store
	delay time.Duration
}

func (s *slowStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	time.Sleep(s.delay)
	return s.Store.Transact(ctx, tx)
}

func (s *slowStore) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	time.Sleep(s.delay)
	return s.Store.Read(ctx, table, part)
}

// Load pattern: the store is 60, or 80, times as slow as usual. Guards against refusals of work that it can take, as by an answer that is late for a
// store at its usual speed but not for a slow one.
func TestJobsAreAcceptedWhileTheStoreIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{240 * time.Millisecond, 320 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { acceptsJobsOfSlowStore(t, delay) })
	}
}

func acceptsJobsOfSlowStore(t *testing.T, delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, w := &slowStore{Store: memrows.New(), delay: delay}, newFakeWorkers(t)
		o := serveOn(t, s, claim(t, s.Store, 1), w, 1)
		defer endOwner(o)
		time.Sleep(2 * time.Second)
		for n := range 100 {
			time.Sleep(30 * time.Millisecond)
			a := submit(o, job(n))
			defer func() { g.Expect((<-a).err).NotTo(HaveOccurred()) }()
		}
	})
}

// Load pattern: daemons restart while the store is silent. Guards against submissions at an owner that can't load its pool, which outlast
// the time limit of the daemon that forwards them and end there as may-have-run.
func TestJobsAreRefusedWhileTheOwnerCannotLoad(t *testing.T) {
	for name, silent := range map[string]bool{"rejecting": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s, w := &partialStore{Store: memrows.New()}, newFakeWorkers(t)
				ver := claim(t, s.Store, 1)
				s.setAway(silent, "pumps", StandbyPart("pumps"))
				o := serveOn(t, s, ver, w, 1)
				defer endOwner(o)
				first := submit(o, job(1))
				time.Sleep(time.Second)
				second := submit(o, job(2))
				time.Sleep(4 * time.Second)
				third := submit(o, job(3))
				time.Sleep(2 * time.Second)
				for _, a := range []struct {
					answer <-chan outcome
					within time.Duration
				}{{first, 700 * time.Millisecond}, {second, 10 * time.Millisecond}, {third, 10 * time.Millisecond}} {
					g.Expect(a.answer).To(HaveLen(1), "the submission is answered")
					expectNotRun(g, <-a.answer, a.within)
				}
				s.setAway(false)
				g.Eventually(func() error { return o.Submit(context.Background(), job(4)) }, time.Minute, 50*time.Millisecond).Should(Succeed())
			})
		})
	}
}
