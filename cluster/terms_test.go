package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// Guards against giving up a pool that has come back to this daemon while the response to its transfer was on its way.
func TestTransferReleasesOnlyTheTransferredTerm(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a := p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	transferred := a.owned["pumps"]
	g.Expect(p.nodes[1].claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	a.release("pumps", transferred)
	g.Expect(a.owned).To(HaveKey("pumps"))
	g.Expect(a.owned["pumps"].Token()).To(Equal(int64(3)))
}

// blockedStore answers writes shortly after the caller has given up.
type blockedStore struct{ *memrows.Store }

func (s blockedStore) Transact(ctx context.Context, _ rows.Tx) (int64, error) {
	<-ctx.Done()
	time.Sleep(10 * time.Millisecond)
	return 0, ctx.Err()
}

// Guards against a daemon that does not end because Run holds the node's mutex while it waits for a heartbeat, which needs it.
func TestRunEndsDuringHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		n := NewNode(Settings{Name: "a", Store: blockedStore{memrows.New()}, Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) }})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx)
		}()
		time.Sleep(storeTimeout / 2)
		cancel()
		<-ended
	})
}
