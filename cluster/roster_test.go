package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
)

// panickingRoster panics on every second read.
type panickingRoster struct{ reads int }

func (r *panickingRoster) Workers(context.Context, time.Duration) (map[string][]engine.WorkerInfo, error) {
	if r.reads++; r.reads%2 == 1 {
		panic("an entry that nobody has foreseen")
	}
	return map[string][]engine.WorkerInfo{"pumps": {{ID: "i-1"}}}, nil
}

// Guards against a message that ends the process, or the loop that follows the list of workers.
func TestPanicEndsNoLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		roster := &panickingRoster{}
		began := time.Now()
		n := NewNode(Settings{Name: "a", Store: memrows.New(), Roster: roster, Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) }})
		n.owned["pumps"] = nil
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.FollowRoster(ctx, 100*time.Millisecond)
		}()
		time.Sleep(time.Second)
		n.mu.Lock()
		g.Expect(n.roster["pumps"]).To(HaveLen(1))
		n.mu.Unlock()
		cancel()
		<-ended
		g.Expect(roster.reads).To(BeNumerically(">", 5))
	})
}
