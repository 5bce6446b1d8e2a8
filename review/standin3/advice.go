package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host = "pumps.example"
	// The traffic is that of the requests shift-close in SYSTEM.md.
	jobsPerSecond = 6.17
	tasksPerStep  = 6
	taskCPU       = 3500
	taskLength    = 850 * time.Millisecond
	// stepsOfFive of five jobs have a second step, so that they have 1.6 on average.
	stepsOfFive = 3
	// The burst has the dose of the site file: x = 2.6 for 4 s.
	burstFactor = 2.6
	burstAt     = 8 * time.Second
	burstLength = 4 * time.Second
	trafficTime = 24 * time.Second
	// finishTime is finish_s, idleLimit the time for which a job may have nothing running, with the margin of one look.
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
	watchTime  = 5 * time.Second
	lookEvery  = 50 * time.Millisecond
	deadline   = 3 * time.Second
)

const adviceConfig = `{"version":1,"routes":[{"name":"r-1","host":"pumps.example","path_prefix":"/pumps/","kind":"non_idempotent","timeout_ms":3000,` +
	`"target_latency_ms":600,"priority":0,"service":"pumps","attempts":4,"stretch":1.6,"advice":{"decide_ms":40,"each_ms":5,"valid_ms":3000}}],` +
	`"services":[{"name":"pumps","enforces_capacity":false,"spare":false}],"limits":{"max_body_bytes":262144}}`

// advice plays a burst of jobs of a queue with advice, and then looks for accepted jobs that are never started. Without trouble the traffic goes on
// at its usual rate.
func advice(s *system, trouble bool) (broken []string, err error) {
	s.adviser = &adviser{sys: s, decide: 40 * time.Millisecond, each: 5 * time.Millisecond, validity: 3 * time.Second, tickets: map[string]issued{}}
	for n := range 9 {
		s.workers = append(s.workers, s.newWorker(n, "pumps"))
	}
	s.store.put("op", "config", rawJSON(adviceConfig))
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // The owner of the pool reaches the workers.
	s.sendTraffic(rand.New(rand.NewPCG(11, 0)), trouble)
	s.note("end of the traffic")
	time.Sleep(finishTime)
	return s.findIdle(), nil
}

// sendTraffic sends jobs at even intervals and returns once all have been answered.
func (s *system) sendTraffic(rnd *rand.Rand, trouble bool) {
	var sent sync.WaitGroup
	began := time.Now()
	n := 0
	for at := time.Duration(0); at < trafficTime; n++ {
		rate := jobsPerSecond
		if trouble && at >= burstAt && at < burstAt+burstLength {
			rate *= burstFactor
		}
		at += time.Duration(float64(time.Second) / rate)
		j := newJob(rnd)
		if n%5 < stepsOfFive {
			j.addStep()
		}
		first := rnd.IntN(len(s.daemons))
		time.Sleep(time.Until(began.Add(at)))
		sent.Go(func() { s.submit(j, first) })
	}
	sent.Wait()
}

// newJob returns a job with one step of shift-close.
func newJob(rnd *rand.Rand) *job {
	length := time.Duration((0.7 + 0.6*rnd.Float64()) * float64(taskLength))
	return &job{id: fmt.Sprintf("%016x", rnd.Uint64()), done: map[string]bool{}, steps: []step{{count: tasksPerStep, cpu: taskCPU, length: length}}}
}

// addStep adds a second step, after the first.
func (j *job) addStep() {
	next := j.steps[0]
	next.after = []int{0}
	j.steps = append(j.steps, next)
}

// submit hands a job in, at up to five daemons. It is sent again after no response, 502 and 504, as PROTOCOL.md says, and also where it was refused.
func (s *system) submit(j *job, first int) {
	s.jobs.add(j)
	for k := range 5 {
		d := s.daemons[(first+k)%len(s.daemons)]
		s.note("POST %s to %s", j.id, d.node)
		status, text := s.call(d, http.MethodPost, "/pumps/"+j.id, j.body(), deadline)
		s.note("POST %s: %d %s", j.id, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			s.jobs.mu.Lock()
			j.accepted = time.Now()
			s.jobs.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// findIdle looks for accepted jobs that have nothing running for idleLimit while a task's turn has come, there is capacity for it twice over on
// workers that may run it, and under half of the service's capacity is in use.
func (s *system) findIdle() (broken []string) {
	found := map[string]bool{}
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(lookEvery) {
		free := map[string]int64{}
		var used int64
		for _, w := range s.workers {
			u := w.usedCPU()
			used += u
			free[w.id] = roomCPU - u
		}
		half := used*2 >= int64(len(s.workers))*roomCPU
		s.jobs.mu.Lock()
		for _, j := range s.jobs.all {
			n, left := j.next()
			if j.accepted.IsZero() || n < 0 || j.running > 0 || half || s.room(j, n, free) < int64(2*left)*j.steps[n].cpu {
				j.idleSince = time.Time{}
				continue
			}
			if j.idleSince.IsZero() {
				j.idleSince = time.Now()
			}
			if time.Since(j.idleSince) > idleLimit+lookEvery && !found[j.id] {
				found[j.id] = true
				broken = append(broken, fmt.Sprintf("LOST: job %s, accepted %.1f s ago, has had nothing running for 3 s: %d tasks of step %d wait, %d%% of the capacity is in use, %d tasks were ever started",
					j.id, time.Since(j.accepted).Seconds(), left, n, 100*used/(int64(len(s.workers))*roomCPU), j.starts))
			}
		}
		s.jobs.mu.Unlock()
	}
	for id := range found {
		status, text := s.call(s.daemons[0], http.MethodGet, "/pumps/"+id, "", deadline)
		s.note("GET %s: %d %s", id, status, strings.TrimSpace(text))
	}
	return broken
}

// room returns the free cpu of the workers that may run a step of the job.
func (s *system) room(j *job, n int, free map[string]int64) int64 {
	var sum int64
	for _, w := range s.workers {
		if permits(fmt.Sprintf("%s.0.%d", j.id, n), w.id) {
			sum += free[w.id]
		}
	}
	return sum
}
