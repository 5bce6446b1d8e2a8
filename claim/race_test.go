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

// ownerPlan is the sequence of faults for the calls of one owner, drawn before the run.
type ownerPlan struct {
	faults []memtable.Fault
	// finish selects whether an acquired claim is finished or released.
	finish bool
}

// faultyTable injects the faults of a plan into the calls of one owner on a shared table. It also applies a lost write
// later, as a network may deliver it with a delay.
type faultyTable struct {
	services.Table
	mu         sync.Mutex
	faults     []memtable.Fault
	lateWrites *sync.WaitGroup
}

func (f *faultyTable) next() memtable.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return memtable.Fault{}
	}
	head := f.faults[0]
	f.faults = f.faults[1:]
	return head
}

func (f *faultyTable) Get(ctx context.Context, key string) (services.Row, error) {
	fault := f.next()
	time.Sleep(fault.Delay)
	if fault.LoseReply || fault.ErrBefore != nil {
		return services.Row{}, memtable.ErrReplyLost
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes []services.Write) ([]int64, error) {
	fault := f.next()
	time.Sleep(fault.Delay)
	if fault.ErrBefore != nil {
		f.lateWrites.Add(1)
		go func() {
			defer f.lateWrites.Done()
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

func drawPlan(t *rapid.T) ownerPlan {
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
	return ownerPlan{faults: rapid.SliceOfN(fault, 0, 6).Draw(t, "faults"), finish: rapid.Bool().Draw(t, "finish")}
}

// Guards against two owners that hold the claim of one key at the same time. With random delays, lost replies and
// late writes, at most one request may run, and no owner may acquire the claim afterwards.
func TestRacingOwnersNeverBothHoldClaim(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		table := memtable.New()
		var late, owners sync.WaitGroup
		var mu sync.Mutex
		ran, holding := 0, 0
		for _, owner := range []string{"a", "b"} {
			p := drawPlan(t)
			s := NewStore(&faultyTable{Table: table, faults: p.faults, lateWrites: &late}, &memtable.Objects{}, owner)
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
