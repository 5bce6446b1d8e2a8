package worker_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/worker"
)

// Guards against renewals that the worker rejects: they caused the loss of every job that ran longer than its first lease
// of 10 s.
func TestRenewalKeepsTask(t *testing.T) {
	g := gomega.NewWithT(t)
	w := workerd.New(workerd.Options{ID: "w"})
	g.Expect(w.Start("127.0.0.1:0")).To(gomega.Succeed())
	defer w.Close()
	c := worker.NewClient(w.Address())
	defer c.Close()
	ctx := context.Background()
	work, err := json.Marshal(workerd.Work{RunMs: 1500})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.StartTask(ctx, &request.Request{ID: "r", Backer: "b", Queue: "q", Pool: "p"}, worker.TaskStart{ID: "task", LeaseSeconds: 0.5, Work: work})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() (string, error) {
		task, err := c.RenewTask(ctx, "task", 0.5)
		return string(task.State), err
	}, 10*time.Second, 50*time.Millisecond).Should(gomega.Equal("done"))
}
