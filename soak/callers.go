package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"samphirepoint/sleep"
)

// outcome is what the callers know of a job.
type outcome int

const (
	uncertain outcome = iota // no attempt was accepted, and one has no certain answer
	accepted
	refused // each attempt was answered by 401, 429 or 503, or carried no valid key
	cancelled
)

// job is a job that callers have submitted.
type job struct {
	id    string
	queue queue
	// workspace is the one whose key the job was sent with, or "".
	workspace string
	tasks     int
	outcome   outcome
	at        time.Time
}

const (
	// attempts is the number of times that a caller submits a job, each time to another daemon.
	attempts = 4
	// thinkTime bounds the pause of a caller between two jobs.
	thinkTime = 700 * time.Millisecond
	// cancelShare is the share of jobs that are cancelled, one of so many; askShare that of jobs whose state is asked for.
	cancelShare = 10
	askShare    = 2
	// longShare is the share of jobs, one of so many, whose tasks last from shortestLongTask to longestTask.
	longShare = 8
	// shortSpec is the specification of tasks that last for taskDuration.
	shortSpec = "x"
)

func copyBody(w io.Writer, r io.Reader) (int64, error) { return io.Copy(w, io.LimitReader(r, 1<<20)) }

// stateOf returns the state in the answer to a request for a job.
func stateOf(body string) string {
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &answer) // An answer that can't be decoded has no state.
	return answer.State
}

// call submits jobs until ctx ends, on connections that stay open as long as their daemon's process.
func (r *run) call(ctx context.Context) {
	clients := r.newClients()
	for ctx.Err() == nil {
		r.submit(queues[r.intN(len(queues))], r.drawSpec(), clients)
		_ = sleep.Context(ctx, r.between(0, thinkTime))
	}
}

// newClients returns a client for each daemon.
func (r *run) newClients() []*http.Client {
	clients := make([]*http.Client, len(r.daemons))
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
	}
	return clients
}

// submit submits one job with tasks of the given specification to a queue, at several daemons if needed, and follows it for a while.
func (r *run) submit(q queue, spec string, clients []*http.Client) {
	key := r.drawKey()
	j := r.newJob(q, key)
	width := 1 + r.intN(4)
	j.tasks = width + 1
	body := fmt.Sprintf(`{"task_spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":300},{"count":1,"cpu":%d,"mem_mb":%d,"estimate_ms":300,"after":[0]}]}`,
		spec, width, taskNeed.CPU, taskNeed.Mem, taskNeed.CPU, taskNeed.Mem)
	certain := true
	for range attempts {
		k := r.intN(len(r.daemons))
		invalid := r.certainlyInvalid(j.queue, key, time.Now())
		status, _, err := r.request(k, call{method: http.MethodPost, queue: j.queue, id: j.id, key: key, body: body}, clients[k])
		switch {
		case err == nil && status/100 == 2:
			r.setOutcome(j, accepted)
			r.follow(j, clients)
			return
		case err != nil || !isRefusal(status):
			certain = certain && (invalid || neverSent(err))
		}
		time.Sleep(r.between(50*time.Millisecond, 400*time.Millisecond))
	}
	if certain {
		r.setOutcome(j, refused)
	}
}

// isRefusal reports whether the status says that a job has not run and won't.
func isRefusal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// drawSpec returns the specification of a job's tasks, which is their duration if they are long.
func (r *run) drawSpec() string {
	if r.intN(longShare) > 0 {
		return shortSpec
	}
	return r.between(shortestLongTask, longestTask).String()
}

// neverSent reports whether the error shows that no request has reached the daemon.
func neverSent(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connection refused")
}

// newJob registers a job of the queue with a new ID that is sent with the key. Its outcome is uncertain.
func (r *run) newJob(q queue, key string) *job {
	j := &job{queue: q, at: time.Now()}
	if k, issued := r.workspaces.key(key); issued && !j.queue.public {
		j.workspace = k.workspace
	}
	r.mu.Lock()
	j.id = fmt.Sprintf("%08x%08x", uint32(r.options.Seed), len(r.jobs)+1)
	r.jobs = append(r.jobs, j)
	r.result.Uncertain++
	r.mu.Unlock()
	if j.queue.advised {
		r.advised.Store(j.id, true)
	}
	if j.workspace != "" {
		r.workspaces.setWorkspaceOf(j.id, j.workspace)
	}
	return j
}

// callFor returns a call for a job, with a key of its workspace if that has one.
func (r *run) callFor(j *job, method string) call {
	return call{method: method, queue: j.queue, id: j.id, key: r.keyOfWorkspace(j.workspace)}
}

func (r *run) setOutcome(j *job, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[outcome]*int{uncertain: &r.result.Uncertain, accepted: &r.result.Accepted, refused: &r.result.Refused, cancelled: &r.result.Cancelled}
	*counts[j.outcome]--
	*counts[o]++
	j.outcome = o
}

// follow cancels some of the accepted jobs and asks for the state of others.
func (r *run) follow(j *job, clients []*http.Client) {
	time.Sleep(r.between(0, 900*time.Millisecond))
	k := r.intN(len(r.daemons))
	switch {
	case r.intN(cancelShare) == 0:
		if status, _, err := r.request(k, r.callFor(j, http.MethodDelete), clients[k]); err != nil || status/100 != 2 {
			r.setOutcome(j, uncertain) // It may be cancelled later.
			return
		}
		r.setOutcome(j, cancelled)
	case r.intN(askShare) == 0:
		calm := r.daemons[k].serving() && r.storeCalm()
		status, body, err := r.request(k, r.callFor(j, http.MethodGet), clients[k])
		_, done, _ := r.fleet.Job(j.id)
		switch {
		case err == nil && status == http.StatusGone && calm:
			r.violate("LOST: %s answers 410 for job %s, which was accepted", r.daemons[k].name, j.id)
		case err == nil && stateOf(body) == "completed" && done < j.tasks:
			r.violate("MIXED: job %s is reported as completed, %d of %d tasks are done", j.id, done, j.tasks)
		}
	}
}

// request sends a request to a daemon. A request on a new connection that gets no complete answer is a violation if nothing but a
// request to leave has disturbed the daemon.
func (r *run) request(k int, c call, client *http.Client) (int, string, error) {
	p := r.daemons[k]
	calm, connected := p.undisturbed(), p.serving() && r.storeCalm()
	sent := time.Now()
	status, answer, err := p.ask(c, client)
	if errors.Is(err, errCut) && calm && p.undisturbed() {
		r.violate("LOST: %s read %s %s and cut the connection: %v", p.name, c.method, c.path(), err)
	}
	if err == nil {
		r.checkAnswer(p, c, sent, connected && p.serving() && r.storeCalm(), status)
	}
	return status, answer, err
}
