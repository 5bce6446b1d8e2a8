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

// jobCompletionTimeout bounds the time until all jobs have ended: a lease of 10 s expires, a scan finds the job within
// 7.5 s, and the queued jobs run again (design document, section 3.6).
const jobCompletionTimeout = 60 * time.Second

// submittedJob is a job and the replies to its submissions.
type submittedJob struct {
	key, payload, queue, backer string
	idempotent                  bool
	id                          string // set once the job is accepted
	notRunCount                 int    // responses with verdict not-run
	unknownCount                int
}

// jobStatus is the body of the response to GET /v1/jobs/{id}.
type jobStatus struct {
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	Error   string `json:"error"`
}

// jobCallers submits jobs at a fixed rate. A submission with an unknown outcome is resubmitted only if it is
// non-idempotent, since the resubmission of an idempotent one would be another job.
type jobCallers struct {
	d      *deployment
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	jobs   []*submittedJob
}

func (d *deployment) startJobs() *jobCallers {
	ctx, cancel := context.WithCancel(context.Background())
	j := &jobCallers{d: d, cancel: cancel}
	j.wg.Add(1)
	go func() {
		defer j.wg.Done()
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			job := &submittedJob{key: fmt.Sprintf("job-%d", n), payload: strconv.Quote(fmt.Sprintf("job-%d", n)), queue: d.doc.Queues[n%3].Name,
				backer: d.doc.Backers[n%2].Name, idempotent: n%4 < 2}
			j.wg.Add(1)
			go func() {
				defer j.wg.Done()
				j.submit(job, n)
			}()
		}
	}()
	d.t.Cleanup(func() { j.finish() })
	return j
}

func (j *jobCallers) finish() []*submittedJob {
	j.cancel()
	j.wg.Wait()
	return j.jobs
}

func (j *jobCallers) submit(job *submittedJob, n int) {
	for resubmission := 0; resubmission < 20 && job.id == ""; resubmission++ {
		if resubmission > 0 {
			time.Sleep(500 * time.Millisecond)
		}
		j.send(job, j.d.entries[(n+resubmission)%len(j.d.entries)])
		if job.unknownCount > 0 && job.idempotent {
			break // a resubmission would create another job
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs = append(j.jobs, job)
}

func (j *jobCallers) send(job *submittedJob, e *entryProcess) {
	body, err := json.Marshal(workerd.Work{RunMs: 1000, Payload: json.RawMessage(job.payload)})
	j.d.Expect(err).NotTo(HaveOccurred())
	status, header, data, err := j.d.backerRequest(http.MethodPost, e, "/v1/queues/"+job.queue+"/jobs", job, body)
	switch {
	case err != nil:
		job.unknownCount++
	case status == http.StatusAccepted:
		var reply struct {
			ID string `json:"id"`
		}
		j.d.Expect(json.Unmarshal(data, &reply)).To(Succeed())
		job.id = reply.ID
	case header.Get(request.HeaderVerdict) == "not-run":
		job.notRunCount++
	default:
		job.unknownCount++
	}
}

// backerRequest sends a request with the token of the backer of a job.
func (d *deployment) backerRequest(method string, e *entryProcess, path string, job *submittedJob, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, "http://"+e.callersAddress+path, bytes.NewReader(body))
	d.Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil
	h := req.Header
	h.Set("Authorization", "Bearer "+d.backerTokens[job.backer])
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderIdempotencyKey, job.key)
	h.Set(request.HeaderIdempotent, strconv.FormatBool(job.idempotent))
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// awaitJobEnd waits until a job has ended and returns its state.
func (d *deployment) awaitJobEnd(job *submittedJob, until time.Time) jobStatus {
	var st jobStatus
	d.Eventually(func() (string, error) {
		status, _, data, err := d.backerRequest(http.MethodGet, d.entries[0], "/v1/jobs/"+job.id, job, nil)
		if err != nil || status != http.StatusOK {
			return fmt.Sprintf("status %d", status), err
		}
		return st.State, json.Unmarshal(data, &st)
	}, max(time.Until(until), time.Second), "100ms").ShouldNot(Or(BeEmpty(), Equal("queued"), Equal("running"), HavePrefix("status")), "job %+v", job)
	return st
}

// TestAllEntriesReplaced kills and restarts all entries while jobs run. It guards against a job that is lost with the
// entries, runs twice although it is non-idempotent, ends without its result, or is reported as not run although it ran.
func TestAllEntriesReplaced(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 4)
	j := d.startJobs()
	c := d.startCallers(12, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	d.Eventually(func() int { j.mu.Lock(); defer j.mu.Unlock(); return len(j.jobs) }, completionTimeout, "20ms").Should(BeNumerically(">=", 20))
	for _, e := range d.entries {
		d.kill(e)
	}
	killedAt := time.Now()
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.waitReady(d.entries...)
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	jobs := j.finish()
	records := c.finish()
	until := time.Now().Add(jobCompletionTimeout)
	states := map[string]int{}
	ends := map[*submittedJob]jobStatus{}
	for _, job := range jobs {
		if job.id != "" {
			ends[job] = d.awaitJobEnd(job, until)
			states[ends[job].State]++
		}
	}
	journal := d.checkProperties(records, checker.P3, checker.P5)
	t.Logf("%d jobs ended as %v", len(jobs), states)
	d.Expect(countRunningTasks(journal, killedAt)).NotTo(BeZero(), "no job ran when the entries were killed")
	for _, job := range jobs {
		d.checkJob(job, ends[job], journal)
	}
}

func countRunningTasks(journal []workerd.Event, at time.Time) int {
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

// checkJob compares the replies to the caller of a job with the runs of that job.
func (d *deployment) checkJob(job *submittedJob, end jobStatus, journal []workerd.Event) {
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
	details := fmt.Sprintf("job %+v ended as %+v, started %d times, %d runs were completed", *job, end, started, done)
	if !job.idempotent {
		d.Expect(started).To(BeNumerically("<=", 1), details)
	}
	if job.id == "" {
		if job.unknownCount == 0 {
			d.Expect(started).To(BeZero(), details)
		}
		return
	}
	switch {
	case end.State == "done":
		d.Expect(done).NotTo(BeZero(), details)
		status, _, data, err := d.backerRequest(http.MethodGet, d.entries[1], "/v1/jobs/"+job.id+"/result", job, nil)
		d.Expect(err).NotTo(HaveOccurred())
		var result workerd.Result
		d.Expect(json.Unmarshal(data, &result)).To(Succeed(), "%s: status %d: %s", details, status, data)
		d.Expect(string(result.Payload)).To(Equal(job.payload), details)
	case end.State == "unknown" && !job.idempotent:
		d.Expect(end.Verdict).To(Equal("may-have-run"), details)
	default:
		d.Expect(end.State).To(Equal("done"), details)
	}
}
