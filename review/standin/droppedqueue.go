package main

import (
	"fmt"
	"time"
)

func init() { cases["dropped-queue"] = playDroppedQueue }

// playDroppedQueue submits jobs whose tasks always fail. While they run, their route is dropped, and the daemons are killed and start
// again.
func playDroppedQueue(w *world, trouble bool) ([]string, error) {
	routes := [3]string{"q-routes", "/routes/", "routes"}
	if err := w.start(smallPools, config(1, smallPools, [3]string{"q-pumps", "/pumps/", "pumps"}, routes), 3, "/pumps/", "/routes/"); err != nil {
		return nil, err
	}
	var list []*job
	for range 4 {
		j := w.newJob("/pumps/", "pumps", []step{{count: 2, cpu: 3500, work: 3 * time.Second, fails: true}})
		if !w.submit(j) {
			return nil, fmt.Errorf("job %s is not accepted", j.id)
		}
		list = append(list, j)
	}
	time.Sleep(time.Second)
	w.configure(config(3, smallPools, routes))
	time.Sleep(2 * time.Second)
	if trouble {
		for _, d := range w.daemons {
			d.kill()
		}
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			if err := d.start(w); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(40 * time.Second)
	return w.overBudget(list), nil
}

// overBudget returns the tasks that have started after so many failed runs, whose ends are taken note of, as the queue allows.
func (w *world) overBudget(list []*job) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, j := range list {
		for task, n := range j.failedRuns {
			if n > maxAttempts {
				out = append(out, fmt.Sprintf("BUDGET: %d runs of %s have ended as failed and were taken note of, its queue has attempts = %d", n, task, maxAttempts))
			}
		}
	}
	return out
}
