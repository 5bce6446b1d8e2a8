package filter

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/dispatch"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// delayedSlots answers ErrNotOwner until availableAt, as a scheduler does until the next control interval.
type delayedSlots struct {
	availableAt time.Time
	calls       int
}

func (s *delayedSlots) Acquire(context.Context, dispatch.SlotRequest) (*dispatch.Grant, error) {
	s.calls++
	if time.Now().Before(s.availableAt) {
		return nil, verdict.Wrap(dispatch.ErrNotOwner, verdict.NotRun, 421)
	}
	return &dispatch.Grant{}, nil
}

func (s *delayedSlots) OverflowResult(string, string, bool) {}

type selfRouter struct{ Router }

func (selfRouter) Owner(string, []string) (Target, bool) { return Target{ID: "e1", Self: true}, true }

// Guards against a busy loop during a takeover: the router sees a new pool in the member view at once, the scheduler up to
// 250 ms later with the next control interval. Requests that retry without a delay use all CPU time.
func TestAcquireDoesNotSpinBeforeSchedulerOwnsPool(t *testing.T) {
	g := NewWithT(t)
	slots := &delayedSlots{availableAt: time.Now().Add(150 * time.Millisecond)}
	q := Queue{Slots: slots, Router: selfRouter{}, Route: Route{Router: selfRouter{}}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := &Context{Ctx: ctx, Request: &request.Request{Pool: "p"}}
	g.Expect(q.Request(c)).To(Succeed())
	g.Expect(c.Grant).NotTo(BeNil())
	g.Expect(slots.calls).To(BeNumerically("<=", 32))

	slots.availableAt = time.Now().Add(time.Hour)
	c = &Context{Ctx: ctx, Request: &request.Request{Pool: "p"}}
	cancel()
	err := q.Request(c)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	g.Expect(verdict.Status(err)).To(Equal(504))
}
