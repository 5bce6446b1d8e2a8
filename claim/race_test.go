package claim

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/verdict"
)

// plan is the course of the calls of one owner, drawn before the run.
type plan struct {
	faults []memtable.Fault
	// finish chooses between the end and the release of a claim that was won.
	finish bool
}

// faulty applies a plan to the calls of one owner on a shared table. It also repeats a lost write later, as
// a network may.
type faulty struct {
	services.Table
	mu     sync.Mutex
	faults []memtable.Fault
	late   *sync.WaitGroup
}

func (f *faulty) next() memtable.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return memtable.Fault{}
	}
	head := f.faults[0]
	f.faults = f.faults[1:]
	return head
}

func (f *faulty) Get(ctx context.Context, key string) (services.Row, error) {
	fault := f.next()
	time.Sleep(fault.Delay)
	if fault.LoseReply || fault.ErrBefore != nil {
		return services.Row{}, memtable.ErrReplyLost
	}
	return f.Table.Get(ctx, key)
}

func (f *faulty) Commit(ctx context.Context, writes []services.Write) ([]int64, error) {
	fault := f.next()
	time.Sleep(fault.Delay)
	if fault.ErrBefore != nil {
		f.late.Add(1)
		go func() {
			defer f.late.Done()
			time.Sleep(fault.DelayReply)
			_, _ = f.Table.Commit(context.Background(), writes)
		}()
		return nil, fault.ErrBefore
	}
	versions, err := f.Table.Commit(ctx, writes)
	if fault.LoseReply {
		return nil, memtable.ErrReplyLost
	}
	return versions, err
}

func drawPlan(t *rapid.T) plan {
	fault := rapid.Custom(func(t *rapid.T) memtable.Fault {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		f := memtable.Fault{Delay: ms("delay", 8), DelayReply: ms("late", 150)}
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			f.LoseReply = true
		case 1:
			f.ErrBefore = memtable.ErrReplyLost
		}
		return f
	})
	return plan{faults: rapid.SliceOfN(fault, 0, 6).Draw(t, "faults"), finish: rapid.Bool().Draw(t, "finish")}
}

// Guards against two owners that both hold the claim of one key: with random delays, lost replies and writes
// that arrive late, at most one request runs, and no owner gets the claim after that.
func TestRacingOwnersNeverBothHoldAClaim(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		table := memtable.New()
		var late, owners sync.WaitGroup
		var mu sync.Mutex
		ran, holding := 0, 0
		for _, owner := range []string{"a", "b"} {
			p := drawPlan(t)
			s := NewStore(&faulty{Table: table, faults: p.faults, late: &late}, &memtable.Objects{}, owner)
			ctx, cancel := context.WithCancel(context.Background())
			owners.Add(1)
			go s.Run(ctx)
			go func() {
				defer owners.Done()
				defer cancel()
				for range 2 {
					c, err := s.Acquire(context.Background(), key, "h")
					var existing *ExistingError
					if err != nil {
						if !errors.As(err, &existing) && !verdict.Is(err, verdict.NotRun) {
							t.Errorf("owner %s: error %v", owner, err)
						}
						continue
					}
					mu.Lock()
					holding++
					if holding > 1 || ran > 0 {
						t.Errorf("owner %s holds the claim with %d holders and %d runs", owner, holding, ran)
					}
					if p.finish {
						ran++
					}
					holding--
					mu.Unlock()
					if p.finish {
						s.Finish(c, Outcome{Verdict: "ran"})
					} else {
						s.Release(c)
					}
				}
				flushCtx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				s.Flush(flushCtx)
			}()
		}
		owners.Wait()
		late.Wait()
	})
}
