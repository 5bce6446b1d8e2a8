//go:build linux

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

// jobsEndWithin bounds the end of all jobs: a lease of 10 s lapses, a scan finds the job within 7.5 s, and the queued jobs run
// again (design page, section 3.6).
const jobsEndWithin = 60 * time.Second

// submittedJob is a job and what its caller was told.
type submittedJob struct {
	key, payload, queue, backer string
	idempotent                  bool
	id                          string // once accepted
	refused                     int    // answers with verdict not-run
	unclear                     int
}

// jobStatus is the answer of GET /v1/jobs/{id}.
type jobStatus struct {
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	Error   string `json:"error"`
}

// jobCallers submit jobs at a fixed rate. A submission with an unclear answer is repeated if it has a key.
type jobCallers struct {
	w     *world
	stop  context.CancelFunc
	ended sync.WaitGroup
	mu    sync.Mutex
	jobs  []*submittedJob
}

func (w *world) startJobs() *jobCallers {
	ctx, cancel := context.WithCancel(context.Background())
	j := &jobCallers{w: w, stop: cancel}
	j.ended.Add(1)
	go func() {
		defer j.ended.Done()
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			job := &submittedJob{key: fmt.Sprintf("job-%d", n), payload: strconv.Quote(fmt.Sprintf("job-%d", n)), queue: w.doc.Queues[n%3].Name,
				backer: w.doc.Backers[n%2].Name, idempotent: n%4 < 2}
			j.ended.Add(1)
			go func() {
				defer j.ended.Done()
				j.submit(job, n)
			}()
		}
	}()
	w.t.Cleanup(func() { j.finish() })
	return j
}

func (j *jobCallers) finish() []*submittedJob {
	j.stop()
	j.ended.Wait()
	return j.jobs
}

func (j *jobCallers) submit(job *submittedJob, n int) {
	for repeat := 0; repeat < 20 && job.id == ""; repeat++ {
		if repeat > 0 {
			time.Sleep(500 * time.Millisecond)
		}
		j.send(job, j.w.entries[(n+repeat)%len(j.w.entries)])
		if job.unclear > 0 && job.idempotent {
			break // a repeat would be another job
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs = append(j.jobs, job)
}

func (j *jobCallers) send(job *submittedJob, e *entryProcess) {
	body, err := json.Marshal(workerd.Work{RunMs: 1000, Payload: json.RawMessage(job.payload)})
	j.w.Expect(err).NotTo(HaveOccurred())
	status, header, data, err := j.w.call(http.MethodPost, e, "/v1/queues/"+job.queue+"/jobs", job, body)
	switch {
	case err != nil:
		job.unclear++
	case status == http.StatusAccepted:
		var reply struct {
			ID string `json:"id"`
		}
		j.w.Expect(json.Unmarshal(data, &reply)).To(Succeed())
		job.id = reply.ID
	case header.Get(request.HeaderVerdict) == "not-run":
		job.refused++
	default:
		job.unclear++
	}
}

// call is a request of the backer of a job.
func (w *world) call(method string, e *entryProcess, path string, job *submittedJob, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewReader(body))
	w.Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil
	h := req.Header
	h.Set("Authorization", "Bearer "+w.tokens[job.backer])
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderIdempotencyKey, job.key)
	h.Set(request.HeaderIdempotent, strconv.FormatBool(job.idempotent))
	resp, err := control.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// awaitEnd waits until a job has ended and returns its state.
func (w *world) awaitEnd(job *submittedJob, until time.Time) jobStatus {
	var st jobStatus
	w.Eventually(func() (string, error) {
		status, _, data, err := w.call(http.MethodGet, w.entries[0], "/v1/jobs/"+job.id, job, nil)
		if err != nil || status != http.StatusOK {
			return fmt.Sprintf("status %d", status), err
		}
		return st.State, json.Unmarshal(data, &st)
	}, max(time.Until(until), time.Second), "100ms").ShouldNot(Or(BeEmpty(), Equal("queued"), Equal("running"), HavePrefix("status")), "job %+v", job)
	return st
}

// A job that is lost with the entries, runs twice although it may not, ends without its result, or is reported as not run although it
// ran fails here.
func TestAllEntriesReplaced(t *testing.T) {
	parallel(t)
	w := newWorld(t, 4)
	j := w.startJobs()
	c := w.startCallers(12, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	w.Eventually(func() int { j.mu.Lock(); defer j.mu.Unlock(); return len(j.jobs) }, settleTimeout, "20ms").Should(BeNumerically(">=", 20))
	for _, e := range w.entries {
		w.kill(e)
	}
	killed := time.Now()
	for _, e := range w.entries {
		w.startEntry(e)
	}
	w.waitReady(w.entries...)
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	jobs := j.finish()
	records := c.finish()
	until := time.Now().Add(jobsEndWithin)
	states := map[string]int{}
	ends := map[*submittedJob]jobStatus{}
	for _, job := range jobs {
		if job.id != "" {
			ends[job] = w.awaitEnd(job, until)
			states[ends[job].State]++
		}
	}
	journal := w.judge(records, checker.P3, checker.P5)
	t.Logf("%d jobs ended as %v", len(jobs), states)
	w.Expect(tasksUnderWay(journal, killed)).NotTo(BeZero(), "no job ran when the entries were killed")
	for _, job := range jobs {
		w.checkJob(job, ends[job], journal)
	}
}

func tasksUnderWay(journal []workerd.Event, at time.Time) int {
	n := 0
	for _, e := range journal {
		if e.Task == "" || !e.Time.Before(at) {
			continue
		}
		switch e.Kind {
		case workerd.Start:
			n++
		case workerd.End:
			n--
		}
	}
	return n
}

// checkJob compares what the caller was told with the runs of a job.
func (w *world) checkJob(job *submittedJob, end jobStatus, journal []workerd.Event) {
	started, done := 0, 0
	for _, e := range journal {
		if e.Key != job.key || e.Task == "" {
			continue
		}
		switch {
		case e.Kind == workerd.Start:
			started++
		case e.Kind == workerd.End && e.Outcome == workerd.Done:
			done++
		}
	}
	what := fmt.Sprintf("job %+v ended as %+v, started %d times, %d runs were completed", *job, end, started, done)
	if !job.idempotent {
		w.Expect(started).To(BeNumerically("<=", 1), what)
	}
	if job.id == "" {
		if job.unclear == 0 {
			w.Expect(started).To(BeZero(), what)
		}
		return
	}
	switch {
	case end.State == "done":
		w.Expect(done).NotTo(BeZero(), what)
		status, _, data, err := w.call(http.MethodGet, w.entries[1], "/v1/jobs/"+job.id+"/result", job, nil)
		w.Expect(err).NotTo(HaveOccurred())
		var result workerd.Result
		w.Expect(json.Unmarshal(data, &result)).To(Succeed(), "%s: status %d: %s", what, status, data)
		w.Expect(string(result.Payload)).To(Equal(job.payload), what)
	case end.State == "unknown" && !job.idempotent:
		w.Expect(end.Verdict).To(Equal("may-have-run"), what)
	default:
		w.Expect(end.State).To(Equal("done"), what)
	}
}
