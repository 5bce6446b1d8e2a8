package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scenario is a case: its numbers of services with workers and of workers in each, and what is done in it.
type scenario struct {
	workers, pools int
	play           func(x *world, trouble bool) error
}

var cases = map[string]scenario{
	"rack":   {24, 1, playRack},
	"late":   {9, 1, playLate},
	"tenant": {4, 1, playTenant},
	"moved":  {4, 2, playMoved},
	"twice":  {9, 1, playCrashTwice},
}

// load is what the callers hand in: jobs of 4 tasks, each on so much CPU for so long, from 8 callers with a pause between two jobs.
type load struct {
	cpu   int
	task  string
	pause time.Duration
}

// callers submit jobs for the given time.
func (x *world) callers(length time.Duration, l load) *sync.WaitGroup {
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for k := range 8 {
		wg.Go(func() {
			for n := 1; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%08x%08x", k+1, n)
				x.submit(id, "key-a", "care "+id+" "+l.task, 4, l.cpu)
				time.Sleep(l.pause)
			}
		})
	}
	return &wg
}

// serve starts three daemons and writes the first configuration.
func (x *world) serve() error {
	if err := x.configure(1, services[0]); err != nil {
		return err
	}
	return x.startDaemons(3, "key-a")
}

// rackDown is how long the workers of a rack are dark.
const rackDown = 7700 * time.Millisecond

// playRack lets all workers of one rack crash and go dark, and start again under their ids: first those of one rack, then those of the other.
func playRack(x *world, trouble bool) error {
	if err := x.serve(); err != nil {
		return err
	}
	wg := x.callers(88*time.Second, load{cpu: 1500, task: "800ms", pause: 280 * time.Millisecond})
	for n := range 4 {
		time.Sleep(5 * time.Second)
		if trouble {
			x.record.note("rack %d goes dark", n%2)
			for _, h := range x.hosts[n%2*perRack : (n%2+1)*perRack] {
				h.crash(dark, rackDown)
			}
		}
		time.Sleep(15 * time.Second)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	return nil
}

const (
	lateTime  = 5500 * time.Millisecond
	crashTime = 3500 * time.Millisecond
)

// playLate lets workers leave half of their orders unanswered for a while and carry them out 2 to 12 s later. Meanwhile one of the workers crashes and
// starts again under its id. Each worker crashes once at most, so that no order outlives two lives.
func playLate(x *world, trouble bool) error {
	if err := x.serve(); err != nil {
		return err
	}
	wg := x.callers(80*time.Second, load{cpu: 1500, task: "800ms", pause: 400 * time.Millisecond})
	for n := range 3 {
		time.Sleep(3 * time.Second)
		if trouble {
			x.record.note("half of the orders are late")
			x.mu.Lock()
			for _, h := range x.hosts {
				h.lateUntil = time.Now().Add(lateTime)
			}
			x.mu.Unlock()
		}
		time.Sleep(lateTime + time.Second)
		if trouble {
			x.hosts[n].crash(refusing, crashTime)
		}
		time.Sleep(15 * time.Second)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	return nil
}

// playCrashTwice lets workers leave half of their orders unanswered for 3 s and carry them out 2 to 12 s later. One of them crashes at the end of that time
// and is back after 0.5 s, and crashes again 3 s later. Only orders to its first life are late.
func playCrashTwice(x *world, trouble bool) error {
	if err := x.serve(); err != nil {
		return err
	}
	wg := x.callers(85*time.Second, load{cpu: 1500, task: "800ms", pause: 400 * time.Millisecond})
	for n := range 3 {
		time.Sleep(3 * time.Second)
		if trouble {
			x.record.note("half of the orders are late")
			x.mu.Lock()
			for _, h := range x.hosts {
				h.lateUntil = time.Now().Add(3 * time.Second)
			}
			x.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		if trouble {
			x.hosts[n].crash(refusing, 500*time.Millisecond)
		}
		time.Sleep(3500 * time.Millisecond)
		if trouble {
			x.hosts[n].crash(refusing, crashTime)
		}
		time.Sleep(15 * time.Second)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	return nil
}

// tenants are those of the cases with two of them.
var tenants = []map[string]any{
	{"name": "cooperative", "api_keys": []string{"key-a"}, "weight": 1},
	{"name": "ministry", "api_keys": []string{"key-b"}, "weight": 1},
}

// jobsPerTenant is the number of jobs of each tenant. Each tenant numbers its jobs from 1.
const jobsPerTenant = 6

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// playTenant lets two tenants hand in jobs under the same ids. In between, the daemons are stopped and started in turn.
func playTenant(x *world, trouble bool) error {
	return x.playTenants(func() error {
		if !trouble {
			return nil
		}
		for _, d := range x.daemons {
			d.end(syscall.SIGTERM)
			if err := d.start(); err != nil {
				return err
			}
			if err := d.await("key-a"); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
		}
		return nil
	})
}

// playMoved lets two tenants hand in jobs under the same ids. In between, a new configuration sends the route to another service.
func playMoved(x *world, trouble bool) error {
	return x.playTenants(func() error {
		if !trouble {
			return nil
		}
		x.record.note("version 2 sends the route to %s", services[1])
		return x.configure(2, services[1])
	})
}

// playTenants lets one tenant hand in jobs, and after the disruption another one under the same ids. It checks what the second tenant is told of
// the jobs that were accepted.
func (x *world) playTenants(disrupt func() error) error {
	if err := x.configure(1, services[0]); err != nil {
		return err
	}
	if err := x.startDaemons(3, "key-a"); err != nil {
		return err
	}
	for n := 1; n <= jobsPerTenant; n++ {
		if id := jobID(n); !x.submit(id, "key-a", "a "+id+" 300ms", 2, 1000) {
			return fmt.Errorf("job %s of the first tenant isn't accepted", id)
		}
	}
	time.Sleep(5 * time.Second)
	if err := disrupt(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var accepted []string
	for n := 1; n <= jobsPerTenant; n++ {
		if id := jobID(n); x.submit(id, "key-b", "b "+id+" 300ms", 2, 1000) {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(20 * time.Second)
	for k, id := range accepted {
		status, answer, err := x.daemons[k%len(x.daemons)].ask(http.MethodGet, id, "key-b", "")
		x.record.note("GET %s of the second tenant: %d %s %v", id, status, answer, err)
		x.mu.Lock()
		starts := x.starts["b "+id+" 300ms"]
		x.mu.Unlock()
		switch {
		case err == nil && status == http.StatusGone:
			x.record.violate("LOST: job %s of the second tenant was accepted, nobody has cancelled it, and a GET is answered 410; its tasks have started %d times", id, starts)
		case err == nil && strings.Contains(answer, "completed") && starts == 0:
			x.record.violate("MIXED: job %s of the second tenant was accepted and is answered %d %s, and none of its tasks has started", id, status, answer)
		}
	}
	return nil
}
