package workerd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/drainer"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

func start(t *testing.T, o workerd.Options) *workerd.Server {
	t.Helper()
	if o.ID == "" {
		o.ID = "w1"
	}
	s := workerd.New(o)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func attempt(id, body string) worker.Attempt {
	return worker.Attempt{ID: "1", Request: &request.Request{ID: id, Backer: "b", Queue: "q", Pool: "p", Idempotent: true, Body: []byte(body)}}
}

// Guards against a response that the worker client rejects and against work missing from the journal.
func TestRunEchoesAndJournals(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	c := worker.NewClient(s.Address())
	defer c.Close()
	a, err := c.Run(context.Background(), attempt("r1", `{"runMs":5,"payload":{"n":7}}`))
	g.Expect(err).NotTo(HaveOccurred())
	var result workerd.Result
	g.Expect(json.Unmarshal(a.Body, &result)).To(Succeed())
	g.Expect(string(result.Payload)).To(Equal(`{"n":7}`))
	j := s.Journal(0)
	g.Expect(j).To(HaveLen(2))
	g.Expect(j[0].Kind).To(Equal(workerd.Start))
	g.Expect(j[1].Kind).To(Equal(workerd.End))
	g.Expect(j[1].RunID).To(Equal(result.RunID))
	g.Expect(j[0].Pool).To(Equal("p"))
	g.Expect(s.Journal(1)).To(HaveLen(1))
}

// Guards against work beyond the slots or during a drain that starts or is not rejected as not run.
func TestFullAndLeavingRefuse(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{Slots: 1})
	c := worker.NewClient(s.Address())
	defer c.Close()
	ctx := context.Background()
	done := make(chan error, 1)
	go func() {
		_, err := c.Run(ctx, attempt("long", `{"runMs":60000}`))
		done <- err
	}()
	g.Eventually(func() int { return len(s.Status().Running) }).WithTimeout(5 * time.Second).Should(Equal(1))
	_, err := c.Run(ctx, attempt("r2", `{}`))
	g.Expect(err).To(MatchError(worker.ErrNoFreeSlot))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	s.Drain(true)
	_, err = c.Run(ctx, attempt("r3", `{}`))
	g.Expect(err).To(MatchError(worker.ErrLeaving))
	g.Expect(c.Stop(ctx, "long", "1")).To(Succeed())
	g.Expect(s.Status().Running).To(BeEmpty())
	g.Expect(<-done).NotTo(HaveOccurred())
	kinds := map[workerd.Kind]int{}
	for _, e := range s.Journal(0) {
		kinds[e.Kind]++
	}
	g.Expect(kinds).To(Equal(map[workerd.Kind]int{workerd.Start: 1, workerd.End: 1, workerd.Refused: 2, workerd.Leaving: 1}))
}

// Guards against accepting connections beyond the limit, which would hide entries that open too many.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{Connections: 2})
	for range 2 {
		conn, err := net.Dial("tcp", s.Address())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
	}
	// The reset may arrive during connection setup or at the first read.
	third, err := net.Dial("tcp", s.Address())
	if err == nil {
		defer func() { _ = third.Close() }()
		g.Expect(third.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = third.Read(make([]byte, 1))
	}
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// Guards against truncated and swapped responses that the worker client does not detect.
func TestInvalidAnswers(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	c := worker.NewClient(s.Address())
	defer c.Close()
	ctx := context.Background()
	g.Expect(s.SetMode(workerd.Mode{Mode: workerd.Truncate})).To(Succeed())
	for i := range 4 {
		_, err := c.Run(ctx, attempt(fmt.Sprint("t", i), `{"size":2000}`))
		g.Expect(err).To(MatchError(worker.ErrInvalidResponse))
	}
	g.Expect(s.SetMode(workerd.Mode{Mode: workerd.Swap})).To(Succeed())
	_, err := c.Run(ctx, attempt("s1", `{}`))
	g.Expect(err).To(MatchError(worker.ErrInvalidResponse))
	g.Expect(s.SetMode(workerd.Mode{Mode: "odd"})).NotTo(Succeed())
}

// Guards against a task that continues after its lease has expired, and against a repeated start that runs it twice.
func TestTaskLease(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	body := `{"leaseSeconds":0.3,"work":{"runMs":60000}}`
	for range 2 {
		task := call(g, http.MethodPut, s, "/tasks/t1", body)
		g.Expect(task.State).To(Equal(workerd.TaskRunning))
	}
	g.Expect(call(g, http.MethodPost, s, "/tasks/t1/checkpoint", "").State).To(Equal(workerd.TaskRunning))
	g.Eventually(func() workerd.TaskState { return call(g, http.MethodGet, s, "/tasks/t1", "").State }).
		WithTimeout(5 * time.Second).Should(Equal(workerd.TaskLeaseExpired))
	g.Expect(call(g, http.MethodPost, s, "/tasks/t1/renew", `{}`).State).To(Equal(workerd.TaskLeaseExpired))
	g.Expect(s.Journal(0)).To(HaveLen(2))
	g.Expect(s.Status().Running).To(BeEmpty())
}

// Guards against a task that does not resume from its checkpoint, and against a stop that does not return the final state.
func TestTaskCheckpointAndStop(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	call(g, http.MethodPut, s, "/tasks/t1", `{"checkpoint":{"doneMs":59990},"work":{"runMs":60000,"payload":1}}`)
	g.Eventually(func() workerd.TaskState { return call(g, http.MethodGet, s, "/tasks/t1", "").State }).
		WithTimeout(5 * time.Second).Should(Equal(workerd.TaskDone))
	call(g, http.MethodPut, s, "/tasks/t2", `{"work":{"runMs":60000}}`)
	g.Expect(call(g, http.MethodPost, s, "/tasks/t2/stop", "").State).To(Equal(workerd.TaskStopped))
}

// Guards against a reboot that responds to dropped work, and against a worker that does not listen again on the same
// address.
func TestReboot(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	c := worker.NewClient(s.Address())
	defer c.Close()
	done := make(chan error, 1)
	go func() {
		_, err := c.Run(context.Background(), attempt("r1", `{"runMs":60000}`))
		done <- err
	}()
	g.Eventually(func() int { return len(s.Status().Running) }).WithTimeout(5 * time.Second).Should(Equal(1))
	s.Reboot(50 * time.Millisecond)
	err := <-done
	g.Expect(err).To(HaveOccurred())
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	g.Eventually(func() error { _, err := c.Run(context.Background(), attempt("r2", `{}`)); return err }).
		WithTimeout(5 * time.Second).Should(Succeed())
}

// Guards against orders for a former incarnation, or for another worker at the address, that this one executes.
func TestOrdersForAnotherIncarnationAreRejected(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{})
	in := instance.Instance{ID: "w1", Address: s.Address()}
	ctx, workers := context.Background(), fleet.NewHTTPWorkers(nil)
	former, err := workers.Status(ctx, in)
	g.Expect(err).NotTo(HaveOccurred())
	s.Reboot(0)
	var present drainer.Worker
	g.Eventually(func() error { present, err = workers.Status(ctx, in); return err }).WithTimeout(5 * time.Second).Should(Succeed())
	g.Expect(present.Incarnation).To(BeNumerically(">", former.Incarnation))
	g.Expect(workers.Drain(ctx, in, former.Incarnation)).NotTo(Succeed())
	g.Expect(workers.Reboot(ctx, in, former.Incarnation)).NotTo(Succeed())
	other := instance.Instance{ID: "w2", Address: s.Address()}
	g.Expect(workers.Drain(ctx, other, 0)).NotTo(Succeed())
	g.Expect(s.Status().Draining).To(BeFalse())
	g.Expect(workers.Drain(ctx, in, present.Incarnation)).To(Succeed())
	g.Expect(s.Status().Draining).To(BeTrue())
}

// Guards against a worker that the platform does not list, or does not list as leaving while it drains.
func TestRegisters(t *testing.T) {
	g := NewWithT(t)
	p := platformd.New(platformd.Options{})
	l, err := p.Start("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	s := start(t, workerd.Options{ID: "w9", Zone: "gasabo", Rack: "r2", Platform: l.URL()})
	c := services.NewClient(l.URL(), &http.Client{})
	state := func() services.State {
		list, err := c.Instances().List(context.Background())
		if err != nil || len(list) != 1 {
			return ""
		}
		return list[0].State
	}
	g.Eventually(state).WithTimeout(5 * time.Second).Should(Equal(services.StateLive))
	s.Drain(true)
	g.Eventually(state).WithTimeout(5 * time.Second).Should(Equal(services.StateLeaving))
}

func call(g *WithT, method string, s *workerd.Server, path, body string) workerd.Task {
	req, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewBufferString(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(request.HeaderRequestID, "job-1")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	var task workerd.Task
	g.Expect(json.Unmarshal(data, &task)).To(Succeed(), string(data))
	return task
}

// Guards against a worker that accepts work for the previous worker at its address, which would let an instance work for
// two pools.
func TestRefusesWorkMeantForAnotherWorker(t *testing.T) {
	g := NewWithT(t)
	s := start(t, workerd.Options{ID: "w2"})
	c := worker.NewClient(s.Address())
	defer c.Close()
	a := attempt("r1", `{}`)
	a.Worker = "w1"
	_, err := c.Run(context.Background(), a)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	a.Worker = "w2"
	_, err = c.Run(context.Background(), a)
	g.Expect(err).NotTo(HaveOccurred())
}
