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

// lateSlots does not know of its pool until a time, as a scheduler that waits for the next control round.
type lateSlots struct {
	from  time.Time
	calls int
}

func (s *lateSlots) Acquire(context.Context, dispatch.SlotRequest) (*dispatch.Grant, error) {
	s.calls++
	if time.Now().Before(s.from) {
		return nil, verdict.Wrap(dispatch.ErrNotOwner, verdict.NotRun, 421)
	}
	return &dispatch.Grant{}, nil
}

func (s *lateSlots) OverflowResult(string, string, bool) {}

type selfRouter struct{ Router }

func (selfRouter) Owner(string, []string) (Target, bool) { return Target{ID: "e1", Self: true}, true }

// The router reads the member view at once, the scheduler learns of a new pool with the next control round, up to 250 ms
// later. Requests that ask again without a pause in between keep all processors busy during a takeover.
func TestAcquireDoesNotSpinBeforeTheSchedulerKnowsItsPool(t *testing.T) {
	g := NewWithT(t)
	slots := &lateSlots{from: time.Now().Add(150 * time.Millisecond)}
	q := Queue{Slots: slots, Router: selfRouter{}, Route: Route{Router: selfRouter{}}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := &Context{Ctx: ctx, Request: &request.Request{Pool: "p"}}
	g.Expect(q.Request(c)).To(Succeed())
	g.Expect(c.Grant).NotTo(BeNil())
	g.Expect(slots.calls).To(BeNumerically("<=", 32))

	slots.from = time.Now().Add(time.Hour)
	c = &Context{Ctx: ctx, Request: &request.Request{Pool: "p"}}
	cancel()
	err := q.Request(c)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	g.Expect(verdict.Status(err)).To(Equal(504))
}
