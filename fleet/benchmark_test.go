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

// counting adds up the bytes of rows that a process reads.
type counting struct {
	services.Table
	bytes, reads int
}

func (c *counting) Get(ctx context.Context, key string) (services.Row, error) {
	row, err := c.Table.Get(ctx, key)
	c.bytes, c.reads = c.bytes+len(row.Value)+len(row.Key), c.reads+1
	return row, err
}

func (c *counting) List(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	rows, err := c.Table.List(ctx, prefix, after, limit)
	c.reads++
	for _, row := range rows {
		c.bytes += len(row.Value) + len(row.Key)
	}
	return rows, err
}

// largeWorld is the fleet of two years' time: 1,500 workers in 67 pools, all registered.
func largeWorld(ctx context.Context, tb testing.TB) (*world, *process) {
	w := newWorld(1500)
	w.unchecked = true
	w.doc.Pools, w.doc.Queues = nil, nil
	for i := range 67 {
		name := fmt.Sprintf("p%02d", i)
		w.doc.Pools = append(w.doc.Pools, table.Pool{Name: name})
		w.doc.Queues = append(w.doc.Queues, table.Queue{Name: "q" + name, Pools: []string{name}})
	}
	for i := range 210 {
		w.doc.Backers = append(w.doc.Backers, table.Backer{Name: fmt.Sprintf("b%03d", i), MaxUnavailable: 2 + i%3})
	}
	p := w.process("a", -1)
	n := 0
	p.ctl.Assign = func(services.Instance, *table.Document) string { n++; return fmt.Sprintf("p%02d", n%67) }
	w.tick(ctx)
	w.tick(ctx)
	if got := len(w.rows()); got != 1500 {
		tb.Fatalf("%d instances registered", got)
	}
	return w, p
}

// BenchmarkStep measures a step of the holder at 1,500 instances, without and with a wave. A step follows
// each second, so 30 ms are 3 % of a core. The wave's workers reboot in 3 s, much faster than real ones.
func BenchmarkStep(b *testing.B) {
	for _, selected := range []int{0, 100, wave.MaxInstances} {
		b.Run(fmt.Sprintf("wave of %d", selected), func(b *testing.B) {
			ctx := context.Background()
			w, p := largeWorld(ctx, b)
			if selected > 0 {
				runWave(ctx, b, w, p, sortedKeys(w.workers)[:selected])
			}
			calls := func() int {
				return w.table.Calls(memtable.OpGet) + w.table.Calls(memtable.OpList) + w.table.Calls(memtable.OpCommit)
			}
			before := calls()
			defer func() { b.ReportMetric(float64(calls()-before)/float64(b.N), "calls/step") }()
			for b.Loop() {
				w.t = w.t.Add(time.Second)
				p.contact = w.t
				_ = p.lease.Step(ctx)
				if err := p.ctl.Step(ctx); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func runWave(ctx context.Context, b *testing.B, w *world, p *process, ids []string) {
	plan, err := wave.Plan(&instance.Fleet{Instances: w.rows()}, wave.BudgetsOf(w.doc), wave.Request{ID: "w", Instances: ids}, w.now())
	if err != nil {
		b.Fatal(err)
	}
	plan.Start(w.now())
	if err := p.ctl.ops.CreateWaves(ctx, plan); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkViewDay measures what a view reads in a day of 700 changes at 1,500 instances.
func BenchmarkViewDay(b *testing.B) {
	ctx := context.Background()
	w, p := largeWorld(ctx, b)
	ids := sortedKeys(w.workers)
	c := &counting{Table: w.table}
	v := NewView(c, nil)
	for b.Loop() {
		*c = counting{Table: w.table}
		for poll := range 24 * 60 * 60 / 2 {
			if poll%120 == 0 {
				_ = p.lease.Step(ctx)
				id := ids[poll%1500]
				_, _ = p.ctl.store.Fail(ctx, id, "benchmark")
				_, _ = p.ctl.store.Return(ctx, w.workers[id].in)
			}
			if err := v.Refresh(ctx); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(c.bytes)/86400, "B/s")
	b.ReportMetric(float64(c.reads)/86400, "reads/s")
}
