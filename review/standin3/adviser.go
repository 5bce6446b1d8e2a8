package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// adviser is the service at the address advice: it says which workers may run a step, and hands out tickets. It handles one call at a time for
// each calling machine, in turn.
type adviser struct {
	sys          *system
	decide, each time.Duration
	validity     time.Duration

	mu      sync.Mutex
	tickets map[string]issued
}

type issued struct {
	code string
	at   time.Time
}

// maxWaiting is the number of calls of one machine that may wait.
const maxWaiting = 32

// permits is the policy, which doesn't change: two thirds of the workers may run a step.
func permits(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "/" + worker))
	return h.Sum32()%3 != 0
}

// forMachine returns the handler for the calls of one machine.
func (a *adviser) forMachine(node string) http.Handler {
	waiting := make(chan struct{}, maxWaiting+1)
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string
			Workers []string
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		select {
		case waiting <- struct{}{}:
			defer func() { <-waiting }()
		default:
			reply(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		arrived := time.Now()
		select {
		case turn <- struct{}{}:
			defer func() { <-turn }()
		case <-r.Context().Done():
			return // The caller has left; its turn costs nothing.
		}
		time.Sleep(a.decide + time.Duration(len(q.Workers))*a.each)
		good := [][]string{}
		for _, id := range q.Workers {
			if permits(q.Step, id) {
				good = append(good, []string{id, a.issue(q.Step, id)})
			}
		}
		a.sys.note("advice for %s on %d workers at %s: %d good, after %d ms", q.Step, len(q.Workers), node, len(good), time.Since(arrived).Milliseconds())
		reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.validity.Milliseconds()})
	})
	return mux
}

func (a *adviser) issue(step, worker string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	code := fmt.Sprintf("%08x", rand.Uint32())
	a.tickets[step+"/"+worker+"/"+code] = issued{code: code, at: time.Now()}
	return code
}

// valid reports whether a start of the step on the worker with the ticket is allowed. Without an adviser none needs a ticket.
func (a *adviser) valid(step string, w *worker, ticket string) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[step+"/"+w.id+"/"+ticket]
	return ok && time.Since(t.at) < a.validity
}
