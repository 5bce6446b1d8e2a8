package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
)

const (
	burstWorkers  = 85
	burstLength   = 4 * time.Second
	burstJobs     = 125 // a second, of burstJobTasks tasks
	burstJobTasks = 8
	// slowCall is what a call costs on the slow processor, on which calls run one after another.
	slowCall        = 2 * time.Millisecond
	burstTaskLength = 850 * time.Millisecond
)

// slowProcessor is a fleet of workers that answer at once, called by a process whose calls take their turns on a slow processor.
type slowProcessor struct {
	turn chan struct{}

	mu       sync.Mutex
	workers  map[string]*burstWorker
	starts   map[string]int
	timeouts int
}

type burstWorker struct {
	running map[string]burstRun
	ended   []engine.EndedRow
}

type burstRun struct {
	run int64
	end time.Time
}

// use waits for the processor, uses it, and reports whether the call was over by then.
func (s *slowProcessor) use(ctx context.Context) bool {
	s.turn <- struct{}{}
	time.Sleep(slowCall)
	<-s.turn
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		s.timeouts++
		return true
	}
	return false
}

func (s *slowProcessor) RenewLease(ctx context.Context, to engine.Target, renewal LeaseRenewal) (engine.RenewalReply, error) {
	if s.use(ctx) {
		return engine.RenewalReply{}, ctx.Err()
	}
	for end := time.Now().Add(renewal.Wait); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		a := s.lists(to.ID, renewal.AckedUpTo)
		if len(a.Ended) > 0 || !time.Now().Before(end) {
			return a, nil
		}
	}
	return engine.RenewalReply{}, ctx.Err()
}

func (s *slowProcessor) lists(id string, acked int64) engine.RenewalReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	a := engine.RenewalReply{Incarnation: 1, ClockMS: time.Now().UnixMilli() - 1}
	for task, r := range w.running {
		if time.Now().After(r.end) {
			delete(w.running, task)
			w.ended = append(w.ended, engine.EndedRow{Seq: int64(len(w.ended) + 1), Task: task, Run: r.run, Reason: engine.EndDone})
			continue
		}
		a.Running = append(a.Running, engine.RunningRow{Task: task, Run: r.run})
	}
	a.Ended = append(a.Ended, w.ended[min(int(acked), len(w.ended)):]...)
	return a
}

func (s *slowProcessor) Start(ctx context.Context, o engine.Order) (engine.StartAnswer, error) {
	if s.use(ctx) {
		return engine.StartAnswer{Outcome: engine.StartUnknown}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[o.Task.String()]++
	s.workers[o.Worker.ID].running[o.Task.String()] = burstRun{run: o.Run, end: time.Now().Add(burstTaskLength)}
	return engine.StartAnswer{Outcome: engine.StartAccepted}, nil
}

func (s *slowProcessor) Stop(ctx context.Context, _ engine.Order) error {
	s.use(ctx)
	return ctx.Err()
}

func (s *slowProcessor) Throttle(context.Context, engine.Order) error { return nil }

func (s *slowProcessor) Healthy(context.Context, engine.Target, string) (bool, error) {
	return true, nil
}

// Guards against the collapse of an owner in a burst of 1,000 task starts a second on a slow processor: orders and renewals exceeded
// their time limits while they waited for the owner's own processor, workers were taken for silent, orders were sent again and runs
// given up, which cost more processor time than the burst itself.
func TestBurstOnSlowProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &slowProcessor{turn: make(chan struct{}, 1), workers: map[string]*burstWorker{}, starts: map[string]int{}}
		o, stop := serveBurst(t, s)
		defer stop()
		time.Sleep(time.Second)
		for n := range int(burstLength.Seconds()) * burstJobs {
			time.Sleep(time.Second / burstJobs)
			go func() { _ = o.Submit(context.Background(), burstJob(n)) }()
		}
		g.Eventually(func() int {
			open := 0
			_ = o.WithState(context.Background(), func(p *engine.Pool, _ engine.Clock) { open = p.OpenJobs() })
			return open
		}, time.Minute, 100*time.Millisecond).Should(BeZero())
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.timeouts).To(BeZero())
		g.Expect(s.starts).To(HaveLen(int(burstLength.Seconds()) * burstJobs * burstJobTasks))
		for task, n := range s.starts {
			g.Expect(n).To(Equal(1), task)
		}
	})
}

func serveBurst(t *testing.T, s *slowProcessor) (*Owner, func()) {
	store := memrows.New()
	began := time.Now()
	options := engine.DefaultOptions()
	options.CompleteWithin = time.Hour // no job is rejected
	o := New(context.Background(), Settings{
		Pool: "pumps", Token: 1, ClaimVer: claim(t, store, 1), Store: store, Workers: s, Options: options,
		Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) },
	})
	go func() { _ = o.Run() }()
	o.SetQueues([]engine.Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600}})
	var list []engine.WorkerInfo
	for n := range burstWorkers {
		id := fmt.Sprintf("i-%02d", n)
		s.workers[id] = &burstWorker{running: map[string]burstRun{}}
		list = append(list, engine.WorkerInfo{ID: id, Address: "x", Capacity: engine.Resources{CPU: 64000, Mem: 64000}, Labels: []string{"a", "r-1"}})
	}
	o.SetRoster(list)
	return o, func() {
		o.Stop()
		<-o.Done()
		time.Sleep(time.Minute) // until the calls have ended
	}
}

func burstJob(n int) engine.Spec {
	return engine.Spec{ID: fmt.Sprintf("%016x", n), Queue: "q", Steps: []engine.Step{
		{Count: burstJobTasks, Need: engine.Resources{CPU: 6200, Mem: 100}, EstimateMS: burstTaskLength.Milliseconds()},
	}}
}
