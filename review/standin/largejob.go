package main

import (
	"time"
)

func init() { cases["large-job"] = playLargeJob }

// The large job: one task, and then many small ones, which take a quarter of the pool's CPU all at once.
const (
	largeJobTasks = 1000
	largeJobCPU   = 100
	largeJobWork  = 2 * time.Second
)

func largeJob() []step {
	return []step{{count: 1, cpu: largeJobCPU, work: largeJobWork}, {count: largeJobTasks, cpu: largeJobCPU, after: []int{0}, work: largeJobWork}}
}

// playLargeJob submits small jobs, and between them one large job.
func playLargeJob(w *world, trouble bool) ([]string, error) {
	if err := w.start(smallPools, config(1, smallPools, [3]string{"q-pumps", "/pumps/", "pumps"}, [3]string{"q-routes", "/routes/", "routes"}), 3, "/pumps/", "/routes/"); err != nil {
		return nil, err
	}
	if trouble {
		time.AfterFunc(6*time.Second, func() {
			w.submit(w.newJob("/pumps/", "pumps", largeJob()))
		})
	}
	w.traffic(time.Now().Add(20 * time.Second))
	time.Sleep(finishTime)
	return w.stuckJobs(stuckTime + time.Second), nil
}
