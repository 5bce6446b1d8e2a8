package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
)

// unevenWorkers end each run at once: as failed on worker i-0, as done on the others.
type unevenWorkers struct {
	fakeWorkers
	ends map[string][]engine.EndedRow
	// asked holds the times at which each worker's health was asked.
	asked map[string][]time.Time
	path  string
	began time.Time
}

func (u *unevenWorkers) RenewLease(_ context.Context, to engine.Target, renewal LeaseRenewal) (engine.RenewalReply, error) {
	time.Sleep(5 * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	a := engine.RenewalReply{Incarnation: 1, ClockMS: time.Since(u.began).Milliseconds()}
	a.Ended = append(a.Ended, u.ends[to.ID][min(int(renewal.AckedUpTo), len(u.ends[to.ID])):]...)
	return a, nil
}

func (u *unevenWorkers) Start(_ context.Context, o engine.Order) (engine.StartAnswer, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id, reason := o.Worker.ID, engine.EndDone
	if id == "i-0" {
		reason = engine.EndFailed
	}
	u.ends[id] = append(u.ends[id], engine.EndedRow{Seq: int64(len(u.ends[id]) + 1), Task: o.Task.String(), Run: o.Run, Reason: reason})
	return engine.StartAnswer{Outcome: engine.StartAccepted}, nil
}

func (u *unevenWorkers) Healthy(_ context.Context, to engine.Target, path string) (bool, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked[to.ID] = append(u.asked[to.ID], time.Now())
	u.path = path
	return false, nil
}

// Guards against health questions to workers that are no suspects, or to a suspect more often than once a second, and against a bad worker
// whose health is never asked.
func TestOnlySuspectsAreAskedForTheirHealth(t *testing.T) {
	g := NewWithT(t)
	u := &unevenWorkers{ends: map[string][]engine.EndedRow{}, asked: map[string][]time.Time{}, began: time.Now()}
	s := memrows.New()
	o := serveWith(t, Settings{Token: 1, ClaimVer: claim(t, s, 1), Store: s, Workers: u, Options: engine.Options{Ejection: true}})
	o.SetHealthPath("/alive")
	var list []engine.WorkerInfo
	for n := range 4 {
		id := fmt.Sprint("i-", n)
		list = append(list, engine.WorkerInfo{ID: id, Address: id, Capacity: engine.Resources{CPU: 4000, Mem: 64000}, Labels: []string{"r-1"}})
	}
	o.SetRoster(list)
	submitted := 0
	g.Eventually(func() int {
		for range 4 {
			submitted++
			_ = o.Submit(context.Background(), job(submitted))
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.asked["i-0"])
	}, time.Minute, 10*time.Millisecond).Should(BeNumerically(">=", 3))
	u.mu.Lock()
	defer u.mu.Unlock()
	g.Expect(u.asked).To(HaveLen(1))
	g.Expect(u.path).To(Equal("/alive"))
	for n, at := range u.asked["i-0"][1:] {
		g.Expect(at.Sub(u.asked["i-0"][n])).To(BeNumerically(">", 900*time.Millisecond))
	}
}
