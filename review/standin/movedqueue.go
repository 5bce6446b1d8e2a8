package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["moved-queue"] = playMovedQueue }

// playMovedQueue drops the route of a queue and adds it again for another service, while jobs of the queue are there.
func playMovedQueue(w *world, trouble bool) ([]string, error) {
	routes := [3]string{"q-routes", "/routes/", "routes"}
	if err := w.start(smallPools, config(1, smallPools, [3]string{"q-pumps", "/pumps/", "pumps"}, routes), 3, "/pumps/", "/routes/"); err != nil {
		return nil, err
	}
	var list []*job
	for range 4 {
		j := w.newJob("/pumps/", "pumps", []step{{count: 2, cpu: 3500, work: 500 * time.Millisecond}})
		if !w.submit(j) {
			return nil, fmt.Errorf("job %s is not accepted", j.id)
		}
		list = append(list, j)
	}
	lasting := w.newJob("/pumps/", "pumps", []step{{count: 2, cpu: 3500, lasts: true}})
	if !w.submit(lasting) {
		return nil, fmt.Errorf("job %s is not accepted", lasting.id)
	}
	time.Sleep(visibleTime)
	if trouble {
		w.configure(config(3, smallPools, routes))
		time.Sleep(visibleTime)
		w.configure(config(7, smallPools, [3]string{"q-pumps", "/pumps/", "routes"}, routes))
	}
	time.Sleep(2 * visibleTime)
	var out []string
	for _, j := range append(list, lasting) {
		if status, _ := w.state(j); status != http.StatusOK {
			out = append(out, fmt.Sprintf("LOST: job %s, which was accepted, is answered with %d", j.id, status))
		}
	}
	w.repeatAndCancel(list, lasting)
	return out, nil
}

// repeatAndCancel sends jobs again, as clients occasionally do after the answer, and cancels the lasting one. It records what follows.
func (w *world) repeatAndCancel(list []*job, lasting *job) {
	for _, j := range list {
		w.send(http.MethodPost, j)
	}
	status, _ := w.send(http.MethodDelete, lasting)
	time.Sleep(2 * visibleTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range list {
		if n := len(j.starts); n > 2 {
			w.record("also seen, TWICE: job %s of 2 tasks, all done, has %d starts; the last on %s", j.id, n, j.starts[n-1].pool)
		}
	}
	if len(lasting.running) > 0 {
		w.record("also seen, UNASKED: %d tasks of job %s run on 6 s after the answer %d to its DELETE", len(lasting.running), lasting.id, status)
	}
}
