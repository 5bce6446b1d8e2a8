package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"samphirepoint/sleep"
	"samphirepoint/standin/faultproxy"
)

const (
	// shortestBlindness and longestBlindness bound the time for which a daemon can't learn of a withdrawal. Both outlast the bound of the key.
	shortestBlindness = revokeTime + 500*time.Millisecond
	longestBlindness  = revokeTime + 4*time.Second
	// blindProbeInterval is the time between two calls to such a daemon.
	blindProbeInterval = 100 * time.Millisecond
)

// withdrawBehindCut withdraws a key while a daemon is cut off from the store, and calls the daemon with the key.
func (r *run) withdrawBehindCut(ctx context.Context) {
	r.withdrawUnseen(ctx,
		func(p *process) {
			p.store.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}})
		},
		func(p *process) { p.store.Set(faultproxy.Faults{}) })
}

// withdrawBehindPause withdraws a key while a daemon is stopped. The calls that are sent to it meanwhile are read as soon as it goes on.
func (r *run) withdrawBehindPause(ctx context.Context) {
	r.withdrawUnseen(ctx,
		func(p *process) { p.signal(syscall.SIGSTOP) },
		func(p *process) { p.signal(syscall.SIGCONT) })
}

// withdrawUnseen withdraws a key while a daemon is kept from learning of it, and calls the daemon with the key until some time after that.
func (r *run) withdrawUnseen(ctx context.Context, blind, restore func(*process)) {
	k := r.intN(len(r.daemons))
	p, d := r.daemons[k], r.between(shortestBlindness, longestBlindness)
	p.disturb(d + settleTime)
	blind(p)
	key := r.withdrawAnyKey()
	end := time.Now().Add(d)
	var probes sync.WaitGroup
	defer probes.Wait()
	probe := func() {
		probes.Go(func() { _, _, _ = r.request(k, call{method: http.MethodGet, queue: queues[0], key: key}, nil) })
	}
	for time.Now().Before(end) && sleep.Context(ctx, blindProbeInterval) == nil {
		probe()
	}
	restore(p)
	for range 10 {
		probe()
		_ = sleep.Context(ctx, blindProbeInterval)
	}
}

// withdrawAnyKey withdraws a key of any workspace and returns it, or "" if there is none.
func (r *run) withdrawAnyKey() (key string) {
	r.writeKeys(func() {
		key = r.drawValidKey()
		if k, issued := r.workspaces.key(key); issued {
			r.withdrawKey(k, len(r.workspaces.keysOf(k.workspace)) == 1)
		}
	})
	return key
}
