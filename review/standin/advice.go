package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["advice"] = playAdvice }

// The case with advice: a pool without a spare one, and a queue whose policy allows only two of its machines.
const (
	advisedPool    = "pumps"
	advisedTasks   = 10
	advisedCPU     = 12000
	advisedMachine = "m-pumps-00"
)

// playAdvice runs lasting tasks of a queue with advice beside small jobs of another queue. One of the two workers that may run the
// lasting tasks is lost.
func playAdvice(w *world, trouble bool) ([]string, error) {
	pools := []pool{{name: advisedPool, workers: 7}}
	w.adviser.permits = func(machine string) bool { return machine == advisedMachine || machine == "m-pumps-01" }
	if err := w.start(pools, config(1, pools, [3]string{"q-pumps", "/pumps/", advisedPool}, [3]string{advisedPrefix + "audit", "/audit/", advisedPool}), 3, "/pumps/", "/audit/"); err != nil {
		return nil, err
	}
	lasting := w.newJob("/audit/", advisedPool, []step{{count: advisedTasks, cpu: advisedCPU, lasts: true, advised: true}})
	if !w.submit(lasting) {
		return nil, fmt.Errorf("job %s is not accepted", lasting.id)
	}
	time.Sleep(visibleTime)
	w.mu.Lock()
	running := len(lasting.running)
	w.mu.Unlock()
	if running != advisedTasks {
		return nil, fmt.Errorf("%d of %d lasting tasks run", running, advisedTasks)
	}
	if trouble {
		w.crash(w.machines[0])
	}
	w.mu.Lock()
	lasting.accepted = false // Its tasks wait for the workers that the policy allows, which is no fault.
	w.mu.Unlock()
	found := make(chan []string)
	time.AfterFunc(calmTime, func() { found <- w.stuckJobs(20 * time.Second) })
	var g sync.WaitGroup
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		g.Go(func() {
			w.submit(w.newJob("/pumps/", advisedPool, []step{{count: 2, cpu: 5000, work: 400 * time.Millisecond}}))
		})
	}
	g.Wait()
	w.record("the traffic has ended")
	return <-found, nil
}
