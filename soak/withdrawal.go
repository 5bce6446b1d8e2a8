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
	// wakeTime is how long a daemon is called after it was woken.
	wakeTime = time.Second
	// blindProbeInterval is the time between two calls to such a daemon.
	blindProbeInterval = 100 * time.Millisecond
)

// withdrawBehindCut withdraws a key while a daemon is cut off from the store, and calls the daemon with the key.
func (r *run) withdrawBehindCut(ctx context.Context) {
	r.withdrawUnseen(ctx, (*process).cutStore, (*process).healStore)
}

// withdrawBehindPause withdraws a key while a daemon is stopped. The calls that are sent to it meanwhile are read as soon as it goes on, and it
// does not reach the store before they are answered.
func (r *run) withdrawBehindPause(ctx context.Context) {
	r.withdrawUnseen(ctx,
		func(p *process) { p.signal(syscall.SIGSTOP); p.cutStore() },
		func(p *process) { p.signal(syscall.SIGCONT) })
}

func (p *process) cutStore() {
	p.store.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}})
}

func (p *process) healStore() { p.store.Set(faultproxy.Faults{}) }

// withdrawUnseen withdraws a key while a daemon is kept from learning of it, and calls the daemon with the key then and for wakeTime after it was
// woken. After that the daemon reaches the store.
func (r *run) withdrawUnseen(ctx context.Context, blind, wake func(*process)) {
	k := r.intN(len(r.daemons))
	p, d := r.daemons[k], r.between(shortestBlindness, longestBlindness)
	p.disturb(d + wakeTime + settleTime)
	blind(p)
	key := r.withdrawAnyKey()
	var probes sync.WaitGroup
	defer probes.Wait()
	r.probeFor(ctx, &probes, k, key, d)
	wake(p)
	r.probeFor(ctx, &probes, k, key, wakeTime)
	p.healStore()
}

// probeFor calls a daemon with a key for some time, without waiting for the answers.
func (r *run) probeFor(ctx context.Context, probes *sync.WaitGroup, daemon int, key string, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if sleep.Context(ctx, blindProbeInterval) != nil {
			return
		}
		probes.Go(func() { _, _, _ = r.request(daemon, call{method: http.MethodGet, queue: queues[0], key: key}, nil) })
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
