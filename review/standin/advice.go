package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["advice"] = playAdvice }

// The case with advice: a pool without a spare one, and a queue with advice whose policy allows two of its machines. The lasting jobs
// are of the size of the site's largest. Two fill both machines; with the burst there are 2.5 times as many.
const (
	advisedPool  = "pumps"
	advisedTasks = 8
	advisedCPU   = 7900
	usualLasting = 2
	burstLasting = 3
	burstPause   = 700 * time.Millisecond
)

// playAdvice runs lasting tasks of a queue with advice beside small jobs of another queue. More lasting jobs come than the machines
// that the policy allows have room for.
func playAdvice(w *world, trouble bool) ([]string, error) {
	pools := []pool{{name: advisedPool, workers: 8}}
	w.adviser.permits = func(machine string) bool { return machine == "m-pumps-00" || machine == "m-pumps-01" }
	if err := w.start(pools, config(1, pools, [3]string{"q-pumps", "/pumps/", advisedPool}, [3]string{advisedPrefix + "audit", "/audit/", advisedPool}), 3, "/pumps/", "/audit/"); err != nil {
		return nil, err
	}
	for range usualLasting {
		if err := w.submitLasting(); err != nil {
			return nil, err
		}
	}
	time.Sleep(visibleTime)
	if trouble {
		for range burstLasting {
			if err := w.submitLasting(); err != nil {
				return nil, err
			}
			time.Sleep(burstPause)
		}
	}
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

// submitLasting submits a lasting job of the queue with advice. It isn't judged: that its tasks wait for the machines that the policy
// allows is no fault.
func (w *world) submitLasting() error {
	j := w.newJob("/audit/", advisedPool, []step{{count: advisedTasks, cpu: advisedCPU, lasts: true, advised: true}})
	if !w.submit(j) {
		return fmt.Errorf("job %s is not accepted", j.id)
	}
	w.mu.Lock()
	j.accepted = false
	w.mu.Unlock()
	return nil
}
