package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// The jobs are those of the requests delivery-match in SYSTEM.md.
	matchesPerSecond = 1.11
	matchTasks       = 8
	matchCPU         = 7700
	matchLength      = 1400 * time.Millisecond
	matchTime        = 28 * time.Second
	// Another writer leaves this many entries, one after the other.
	foreignEntries = 12
	firstForeign   = 5 * time.Second
	foreignEvery   = 2 * time.Second
	matchFinish    = 5 * time.Second
)

const plainConfig = `{"version":1,"routes":[{"name":"r-1","host":"pumps.example","path_prefix":"/pumps/","kind":"non_idempotent","timeout_ms":3000,` +
	`"target_latency_ms":600,"priority":0,"service":"pumps","attempts":4,"stretch":1.6}],` +
	`"services":[{"name":"pumps","enforces_capacity":false,"spare":false}],"limits":{"max_body_bytes":262144}}`

// foreignEntry plays another writer that leaves entries without most of their fields among those of the workers, and looks for tasks that run twice.
func foreignEntry(s *system, trouble bool) (broken []string, err error) {
	for n := range 9 {
		s.workers = append(s.workers, s.newWorker(n, "pumps"))
	}
	s.store.put("op", "config", rawJSON(plainConfig))
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // The owner of the pool reaches the workers.
	var sent sync.WaitGroup
	if trouble {
		sent.Go(s.leaveEntries)
	}
	s.sendMatches(rand.New(rand.NewPCG(12, 0)))
	sent.Wait()
	time.Sleep(matchFinish)
	s.jobs.mu.Lock()
	defer s.jobs.mu.Unlock()
	return s.jobs.twice, nil
}

func (s *system) sendMatches(rnd *rand.Rand) {
	var sent sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < matchTime; {
		at += time.Duration(rnd.ExpFloat64() / matchesPerSecond * float64(time.Second))
		length := time.Duration((0.7 + 0.6*rnd.Float64()) * float64(matchLength))
		j := newJob(rnd)
		j.steps = []step{{count: matchTasks, cpu: matchCPU, length: length}}
		j.addStep()
		d := rnd.IntN(len(s.daemons))
		time.Sleep(time.Until(began.Add(at)))
		sent.Go(func() { s.submit(j, d) })
	}
	sent.Wait()
}

// leaveEntries writes an entry of another writer in place of that of a worker, for several workers in turn: it has only four fields, and the address
// is that of the next worker. The worker itself writes its own entry again within a heartbeat.
func (s *system) leaveEntries() {
	time.Sleep(firstForeign)
	for n := range foreignEntries {
		w, other := s.workers[n%len(s.workers)], s.workers[(n+1)%len(s.workers)]
		s.note("another writer leaves an entry without zone, version, slots, cold_left_ms, seq, labels, born and machine for %s, with the address of %s", w.id, other.id)
		s.store.put("servers", w.id, map[string]any{
			"service": w.service, "address": other.address, "state": "ready", "room": map[string]int{"cpu": roomCPU, "mem_mb": roomMemMB, "gpu": 0},
		})
		time.Sleep(foreignEvery)
	}
}
