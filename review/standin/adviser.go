package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The times of the service for advice.
const (
	decideTime = 20 * time.Millisecond
	eachTime   = time.Millisecond
	ticketTime = 3 * time.Second
)

// adviser is the service that knows which workers may run the steps of a queue with advice: here, those on some machines.
type adviser struct {
	world *world
	// permits reports whether work of such queues may run on a machine. It must be set before the daemons start.
	permits func(machine string) bool

	// calls is held while a call is answered: the service handles one at a time.
	calls  sync.Mutex
	mu     sync.Mutex
	issued map[string]ticket
}

type ticket struct {
	step, worker string
	until        time.Time
}

func (a *adviser) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		a.calls.Lock()
		time.Sleep(decideTime + time.Duration(len(c.Workers))*eachTime)
		a.calls.Unlock()
		reply(w, http.StatusOK, map[string]any{"good": a.advise(c.Step, c.Workers), "valid_ms": ticketTime.Milliseconds()})
	})
	return mux
}

// advise issues tickets for the workers that may run a step.
func (a *adviser) advise(step string, workers []string) [][]string {
	machines := map[string]string{}
	a.world.mu.Lock()
	for _, m := range a.world.machines {
		if m.worker != nil {
			machines[m.worker.id] = m.id
		}
	}
	a.world.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	good := [][]string{}
	for _, id := range workers {
		if a.permits == nil || machines[id] == "" || !a.permits(machines[id]) {
			continue
		}
		code := fmt.Sprintf("t-%d", len(a.issued))
		a.issued[code] = ticket{step: step, worker: id, until: time.Now().Add(ticketTime)}
		good = append(good, []string{id, code})
	}
	return good
}

// valid reports whether a ticket permits a task on a worker now.
func (a *adviser) valid(code, task string, x *worker) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.issued[code]
	return ok && t.step == stepOf(task) && t.worker == x.id && time.Now().Before(t.until)
}
