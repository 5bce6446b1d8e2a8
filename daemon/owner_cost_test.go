package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/catalog"
	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/platform"
	"samphirepoint/standin/jobfleet"
)

// fleetProcessVariable is set in the process that runs the simulated fleet of BenchmarkPoolOwner. The fleet has a process of its own
// so that the figures cover the owner alone.
const fleetProcessVariable = "SAMPHIREPOINT_TEST_FLEET"

const (
	ownerWorkers = 85
	// burstStarts is the number of task starts a second that the callers ask for, for burstLength. The workers run half of them, so
	// that a queue builds up.
	burstStarts     = 1000
	burstLength     = 5 * time.Second
	burstJobTasks   = 8
	burstTaskLength = 850 * time.Millisecond
)

type fleetAddresses struct{ Store, Cloud string }

// TestFleetProcess is not a test: it is the entry point of the fleet's process.
func TestFleetProcess(t *testing.T) {
	if os.Getenv(fleetProcessVariable) == "" {
		t.Skip("runs as part of BenchmarkPoolOwner only")
	}
	g := NewWithT(t)
	fleet, err := jobfleet.New(map[string]int{"pumps": ownerWorkers})
	g.Expect(err).NotTo(HaveOccurred())
	fleet.TaskDuration = burstTaskLength
	g.Expect(json.NewEncoder(os.Stdout).Encode(fleetAddresses{Store: fleet.StoreAddress(), Cloud: fleet.CloudAddress()})).To(Succeed())
	_, _ = io.Copy(io.Discard, os.Stdin) // until the benchmark ends
	fleet.Close()
}

func startFleetProcess(b *testing.B) fleetAddresses {
	g := NewWithT(b)
	c := exec.Command(os.Args[0], "-test.run=^TestFleetProcess$")
	c.Env = append(os.Environ(), fleetProcessVariable+"=1")
	stop, err := c.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	out, err := c.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Start()).To(Succeed())
	b.Cleanup(func() {
		_ = stop.Close()
		_ = c.Wait()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	g.Expect(err).NotTo(HaveOccurred())
	var a fleetAddresses
	g.Expect(json.Unmarshal(line, &a)).To(Succeed())
	return a
}

// processorTime returns the processor time that this process has used, in user mode and in total.
func processorTime() (user, total time.Duration) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	user = time.Duration(u.Utime.Nano())
	return user, user + time.Duration(u.Stime.Nano())
}

// BenchmarkPoolOwner measures what a daemon that owns a pool of 85 workers spends on each task of a burst of 1,000 task starts a
// second: processor time in user mode and in total, allocations and bytes. The daemon has its own heartbeats, roster reads and log.
func BenchmarkPoolOwner(b *testing.B) {
	g := NewWithT(b)
	addr := startFleetProcess(b)
	store := platform.NewStore(addr.Store)
	log, closeLog := observe.Log(io.Discard, "edge-1")
	defer closeLog()
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node := cluster.NewNode(cluster.Settings{
		Name: "edge-1", Incarnation: "1", Address: "127.0.0.1:1", Zone: "z", Store: store, Workers: platform.NewWorkers(), Roster: &platform.Roster{Store: store},
		Options: engine.DefaultOptions(), Log: log, Now: func() time.Duration { return time.Since(began) },
	})
	cat := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "pumps"}}, Queues: []catalog.Queue{{Queue: engine.Queue{Name: "q1", Attempts: 3, Stretch: 1.6, TargetMS: 600}, Pool: "pumps"}}}
	cat.Index()
	node.SetCatalog(cat)
	go func() { _ = node.Run(ctx) }()
	go func() { _ = node.FollowRoster(ctx, workerListInterval) }()
	g.Eventually(func() int { return usableWorkers(ctx, node) }, time.Minute, 50*time.Millisecond).Should(Equal(ownerWorkers))
	round := 0
	for b.Loop() {
		round++
		measureBurst(ctx, b, node, round)
	}
}

func usableWorkers(ctx context.Context, node *cluster.Node) int {
	n := 0
	report, err := node.Report(ctx, "pumps")
	if err != nil {
		return 0
	}
	for _, w := range report.Workers {
		if w.Usable {
			n++
		}
	}
	return n
}

// measureBurst submits one burst, waits until its jobs are completed and reports the cost of a task.
func measureBurst(ctx context.Context, b *testing.B, node *cluster.Node, round int) {
	g := NewWithT(b)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	user, total := processorTime()
	began := time.Now()
	jobs := int(burstLength.Seconds()) * burstStarts / burstJobTasks
	for n := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(n) * burstLength / time.Duration(jobs))))
		go func() {
			_ = node.Submit(ctx, "pumps", burstJob(round, n))
		}()
	}
	for n := range jobs {
		g.Eventually(func() engine.State {
			state, _, _ := node.State(ctx, "pumps", cluster.JobRef{ID: burstJob(round, n).ID})
			return state
		}, time.Minute, 20*time.Millisecond).Should(Equal(engine.Completed))
	}
	userAfter, totalAfter := processorTime()
	runtime.ReadMemStats(&after)
	tasks := float64(jobs * burstJobTasks)
	b.ReportMetric(float64((userAfter-user).Microseconds())/tasks, "user-us/task")
	b.ReportMetric(float64((totalAfter-total).Microseconds())/tasks, "cpu-us/task")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tasks, "allocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tasks, "B/task")
	b.ReportMetric(time.Since(began).Seconds(), "s/burst")
}

func burstJob(round, n int) *engine.Spec {
	return &engine.Spec{ID: fmt.Sprintf("%08x%08x", round, n), Queue: "q1", Payload: "a task of the burst", Steps: []engine.Step{
		{Count: burstJobTasks, Need: engine.Resources{CPU: 3200, Mem: 100}, EstimateMS: burstTaskLength.Milliseconds()},
	}}
}
