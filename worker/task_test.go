package worker

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

// A renewal that the worker refuses lets the lease of every task lapse that runs longer than its first lease.
func TestRenewedTaskOutlivesItsFirstLease(t *testing.T) {
	g := NewWithT(t)
	s := workerd.New(workerd.Options{ID: "w1"})
	g.Expect(s.Start("127.0.0.1:0")).To(Succeed())
	defer s.Close()
	c := NewClient(s.Address())
	defer c.Close()
	ctx := context.Background()
	const lease = 0.5
	r := &request.Request{ID: "r1", Backer: "teal", Queue: "q", Pool: "p", Idempotent: true}
	_, err := c.StartTask(ctx, r, TaskStart{ID: "t1", LeaseSeconds: lease, Work: json.RawMessage(`{"runMs": 1200}`)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func(g Gomega) TaskState {
		_, err := c.RenewTask(ctx, "t1", lease)
		task, taskErr := c.Task(ctx, "t1")
		g.Expect(taskErr).NotTo(HaveOccurred())
		if task.State == TaskRunning {
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(task.State).NotTo(Equal(TaskLeaseExpired))
		return task.State
	}, 5*time.Second, 100*time.Millisecond).Should(Equal(TaskDone))
}
