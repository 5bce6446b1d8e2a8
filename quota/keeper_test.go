package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// faultyStore loses, refuses and delays transactions while it is disturbed. A delayed one is executed seconds after its answer was lost.
type faultyStore struct {
	*memrows.Store
	mu        sync.Mutex
	rnd       *rand.Rand
	disturbed bool
}

func (s *faultyStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	kind := 9
	delay := time.Duration(s.rnd.IntN(3000)) * time.Millisecond
	if s.disturbed {
		kind = s.rnd.IntN(10)
	}
	s.mu.Unlock()
	lost := verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "no answer")
	switch kind {
	case 0:
		return 0, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "refused")
	case 1:
		_, _ = s.Store.Transact(ctx, tx)
		return 0, lost
	case 2:
		time.AfterFunc(delay, func() { _, _ = s.Store.Transact(context.Background(), tx) })
		return 0, lost
	}
	return s.Store.Transact(ctx, tx)
}

// shardModel is a shard with its running tasks, which outlive its owners.
type shardModel struct {
	fleet         *fleetModel
	name          string
	token         int64
	used, pending int64
}

// ownerModel is one owner of a shard. Only the newest one may start tasks; a former one that doesn't know yet may still write shares.
type ownerModel struct {
	shard *shardModel
	token int64
	limit engine.Allotment
}

func (o *ownerModel) Token() int64 { return o.token }

func (o *ownerModel) WorkspaceDemands(context.Context) (map[string]engine.WorkspaceDemand, error) {
	o.shard.fleet.mu.Lock()
	defer o.shard.fleet.mu.Unlock()
	s := o.shard
	return map[string]engine.WorkspaceDemand{"w": demand(s.used, s.used+s.pending*taskCPU, taskCPU)}, nil
}

func (o *ownerModel) LowerAllotments(_ context.Context, limits map[string]engine.Resources) (map[string]engine.Resources, error) {
	o.shard.fleet.mu.Lock()
	defer o.shard.fleet.mu.Unlock()
	limit := limits["w"].Max(cpu(o.shard.used))
	o.limit = engine.Allotment{Limit: limit.Min(o.limit.Limit)}
	return map[string]engine.Resources{"w": limit}, nil
}

func (o *ownerModel) SetAllotments(list map[string]engine.Allotment) {
	o.shard.fleet.mu.Lock()
	defer o.shard.fleet.mu.Unlock()
	o.limit = list["w"]
}

const taskCPU = 10

// fleetModel is a workspace's work on several shards.
type fleetModel struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	store  *faultyStore
	shards []*shardModel
	owners map[*shardModel]*ownerModel
	limit  int64
	// formerLimit counts until formerUntil, as daemons learn of a change at different times.
	formerLimit int64
	formerUntil time.Time
	broken      string
	started     int
	// idleSince is when each shard last ran something or had nothing to do, while the workspace used less than half of its cap.
	idleSince map[*shardModel]time.Time
}

// step starts what the owners may start, ends some tasks and checks the rules.
func (f *fleetModel) step(calm bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := int64(0)
	for _, s := range f.shards {
		if s.used > 0 && f.rnd.IntN(20) == 0 {
			s.used -= taskCPU
		}
		total += s.used
	}
	for _, s := range f.shards {
		o := f.owners[s]
		for s.pending > 0 && (o.limit.Limit.CPU >= s.used+taskCPU || o.limit.Sole && s.used == 0) {
			s.used += taskCPU
			s.pending--
			total += taskCPU
			f.started++
			if allowed := f.allowed(); total > allowed+allowed/10+taskCPU {
				f.broken = fmt.Sprintf("%d running, the cap is %d", total, allowed)
			}
		}
	}
	for _, s := range f.shards {
		if s.used > 0 || s.pending == 0 || 2*total >= f.limit || !calm {
			f.idleSince[s] = time.Now()
		} else if idle := time.Since(f.idleSince[s]); idle > 3*time.Second {
			f.broken = fmt.Sprintf("shard %s stood still for %v with %d of %d in use", s.name, idle, total, f.limit)
		}
	}
}

func (f *fleetModel) allowed() int64 {
	if time.Now().Before(f.formerUntil) {
		return max(f.limit, f.formerLimit)
	}
	return f.limit
}

func (f *fleetModel) setLimit(limit int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.formerLimit, f.formerUntil = f.allowed(), time.Now().Add(3*time.Second)
	f.limit = limit
}

// own gives a shard to a new owner on a daemon of its own, while the former one goes on for some seconds.
func (f *fleetModel) own(ctx context.Context, s *shardModel) {
	f.mu.Lock()
	s.token++
	o := &ownerModel{shard: s, token: s.token}
	f.owners[s] = o
	f.mu.Unlock()
	began := time.Now()
	k := NewKeeper(Settings{
		Store: f.store,
		Caps: func() map[string]engine.Resources {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]engine.Resources{"w": cpu(f.limit)}
		},
		Shards: func() map[string]Shard { return map[string]Shard{s.name: o} },
		Owners: func() int { return 6 },
		Log:    zerolog.Nop(),
		Now:    func() time.Duration { return time.Since(began) + time.Hour },
	})
	go func() { _ = k.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			f.mu.Lock()
			short := s.pending > 0
			f.mu.Unlock()
			if short {
				k.Wake()
			}
		}
	}()
}

// Guards against a workspace that runs more than its cap, or stands still with less than half of it in use, while transactions are lost, refused and
// executed late, owners are replaced by others that the former ones don't know of, and the cap changes.
func TestCapHoldsInAnyHistory(t *testing.T) {
	for seed := range seeds() {
		t.Run("seed="+strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if broken := playHistory(uint64(seed)); broken != "" {
					t.Error(broken)
				}
			})
		})
	}
}

// seeds returns the number of random histories, from the environment for longer runs.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("SAMPHIREPOINT_QUOTA_SEEDS")); err == nil {
		return n
	}
	return 12
}

// playHistory plays a random history and returns the first broken rule.
func playHistory(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 7))
	f := &fleetModel{
		rnd: rnd, store: &faultyStore{Store: memrows.New(), rnd: rand.New(rand.NewPCG(seed, 8))}, owners: map[*shardModel]*ownerModel{},
		idleSince: map[*shardModel]time.Time{}, limit: 60 + rnd.Int64N(400),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(10 * time.Second) // The transactions that are executed late.
	defer cancel()
	for i := range 2 + rnd.IntN(6) {
		s := &shardModel{fleet: f, name: strconv.Itoa(i)}
		f.shards = append(f.shards, s)
		f.idleSince[s] = time.Now()
		f.own(ctx, s)
	}
	for i := range 4000 {
		time.Sleep(10 * time.Millisecond)
		quiet := i%2000 > 1200
		f.store.mu.Lock()
		f.store.disturbed = !quiet
		f.store.mu.Unlock()
		f.mu.Lock()
		if s := f.shards[rnd.IntN(len(f.shards))]; rnd.IntN(30) == 0 && s.pending < 50 {
			s.pending += 1 + rnd.Int64N(30)
		}
		f.mu.Unlock()
		if !quiet && rnd.IntN(300) == 0 {
			f.own(ctx, f.shards[rnd.IntN(len(f.shards))])
		}
		if !quiet && rnd.IntN(400) == 0 {
			f.setLimit(5 + rnd.Int64N(500))
		}
		f.step(i%2000 > 1500)
		if f.broken != "" {
			return fmt.Sprintf("after %d ms: %s", 10*i, f.broken)
		}
	}
	if f.started < 100 {
		return fmt.Sprintf("only %d tasks started", f.started)
	}
	return ""
}

// Guards against an owner that uses a share under the token of a former one, whose delayed write may still shrink it, and against a former owner
// that shrinks the share of its successor.
func TestShareBelongsToTheOwnerThatWroteIt(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(Settings{Owners: func() int { return 1 }, Now: func() time.Duration { return time.Hour }, Log: zerolog.Nop()})
	caps := map[string]engine.Resources{"w": cpu(100)}
	k.ledgers["w"] = storedLedger{Ledger: Ledger{Shares: map[string]Share{"a": {Token: 4, Granted: cpu(50)}}}, ver: 9}
	g.Expect(k.allotments("a", 4, caps)["w"].Limit.CPU).To(Equal(int64(50)))
	g.Expect(k.allotments("a", 5, caps)["w"]).To(Equal(engine.Allotment{}), "not written by this owner yet")
	demands := map[string]engine.WorkspaceDemand{"w": demand(0, 0, 0)}
	g.Expect(k.plan("a", 3, caps, demands)).To(BeEmpty(), "has lost the shard")
	g.Expect(k.plan("a", 5, caps, demands)[partOf("w")]).To(HaveLen(1), "has to write its token")
}
