package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
	"samphirepoint/wave"
)

// countingTable counts the reads of a process and the bytes of the rows that it reads.
type countingTable struct {
	services.Table
	bytes, reads int
}

func (c *countingTable) Get(ctx context.Context, key string) (services.Row, error) {
	row, err := c.Table.Get(ctx, key)
	c.bytes, c.reads = c.bytes+len(row.Value)+len(row.Key), c.reads+1
	return row, err
}

func (c *countingTable) List(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	rows, err := c.Table.List(ctx, prefix, after, limit)
	c.reads++
	for _, row := range rows {
		c.bytes += len(row.Value) + len(row.Key)
	}
	return rows, err
}

// newLargeTestEnv returns a fleet of the size expected in two years: 1,500 workers in 67 pools, all registered.
func newLargeTestEnv(ctx context.Context, tb testing.TB) (*testEnv, *process) {
	env := newTestEnv(1500)
	env.skipChecks = true
	env.doc.Pools, env.doc.Queues = nil, nil
	for i := range 67 {
		name := fmt.Sprintf("p%02d", i)
		env.doc.Pools = append(env.doc.Pools, table.Pool{Name: name})
		env.doc.Queues = append(env.doc.Queues, table.Queue{Name: "q" + name, Pools: []string{name}})
	}
	for i := range 210 {
		env.doc.Backers = append(env.doc.Backers, table.Backer{Name: fmt.Sprintf("b%03d", i), MaxUnavailable: 2 + i%3})
	}
	p := env.process("a", -1)
	n := 0
	p.controller.Assign = func(services.Instance, *table.Document) string { n++; return fmt.Sprintf("p%02d", n%67) }
	env.tick(ctx)
	env.tick(ctx)
	if got := len(env.rows()); got != 1500 {
		tb.Fatalf("%d instances registered", got)
	}
	return env, p
}

// BenchmarkStep measures a step of the lease holder at 1,500 instances, without and with a wave. A step runs
// each second, so 30 ms are 3 % of a core. The wave's workers reboot in 3 s, much faster than real ones.
func BenchmarkStep(b *testing.B) {
	for _, selected := range []int{0, 100, wave.MaxInstances} {
		b.Run(fmt.Sprintf("wave of %d", selected), func(b *testing.B) {
			ctx := context.Background()
			env, p := newLargeTestEnv(ctx, b)
			if selected > 0 {
				runWave(ctx, b, env, p, sortedKeys(env.workers)[:selected])
			}
			calls := func() int {
				return env.table.Calls(memtable.OpGet) + env.table.Calls(memtable.OpList) + env.table.Calls(memtable.OpCommit)
			}
			before := calls()
			defer func() { b.ReportMetric(float64(calls()-before)/float64(b.N), "calls/step") }()
			for b.Loop() {
				env.clock = env.clock.Add(time.Second)
				p.contact = env.clock
				_ = p.lease.Step(ctx)
				if err := p.controller.Step(ctx); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func runWave(ctx context.Context, b *testing.B, env *testEnv, p *process, ids []string) {
	plan, err := wave.Plan(&instance.Fleet{Instances: env.rows()}, wave.BudgetsOf(env.doc), wave.Request{ID: "w", Instances: ids}, env.now())
	if err != nil {
		b.Fatal(err)
	}
	plan.Start(env.now())
	if err := p.controller.ops.CreateWaves(ctx, plan); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkViewDay measures what a view reads in a day of 700 changes at 1,500 instances.
func BenchmarkViewDay(b *testing.B) {
	ctx := context.Background()
	env, p := newLargeTestEnv(ctx, b)
	ids := sortedKeys(env.workers)
	c := &countingTable{Table: env.table}
	v := NewView(c, nil)
	for b.Loop() {
		*c = countingTable{Table: env.table}
		for poll := range 24 * 60 * 60 / 2 {
			if poll%120 == 0 {
				_ = p.lease.Step(ctx)
				id := ids[poll%1500]
				_, _ = p.controller.store.Fail(ctx, id, "benchmark")
				_, _ = p.controller.store.Return(ctx, env.workers[id].in)
			}
			if err := v.Refresh(ctx); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(c.bytes)/86400, "B/s")
	b.ReportMetric(float64(c.reads)/86400, "reads/s")
}
