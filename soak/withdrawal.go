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
	// minDisconnection and maxDisconnection bound the time for which a daemon can't learn of a withdrawal. Both exceed revokeTime.
	minDisconnection = revokeTime + 500*time.Millisecond
	maxDisconnection = revokeTime + 4*time.Second
	// probeTimeAfter is how long a daemon is called after it was resumed or connected again.
	probeTimeAfter = time.Second
	// withdrawnProbeInterval is the time between two calls to such a daemon.
	withdrawnProbeInterval = 100 * time.Millisecond
)

// withdrawDuringCut withdraws a key while a daemon is cut off from the store, and calls the daemon with the key.
func (r *run) withdrawDuringCut(ctx context.Context) {
	r.withdrawWhileDisconnected(ctx, (*process).cutStore, (*process).healStore)
}

// withdrawDuringPause withdraws a key while a daemon is stopped. The calls that are sent to it meanwhile are read as soon as it goes on, and it
// does not reach the store before they are answered.
func (r *run) withdrawDuringPause(ctx context.Context) {
	r.withdrawWhileDisconnected(ctx,
		func(p *process) { p.signal(syscall.SIGSTOP); p.cutStore() },
		func(p *process) { p.signal(syscall.SIGCONT) })
}

func (p *process) cutStore() {
	p.store.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}})
}

func (p *process) healStore() { p.store.Set(faultproxy.Faults{}) }

// withdrawWhileDisconnected withdraws a key while a daemon is kept from learning of it, and calls the daemon with the key then and for
// probeTimeAfter after resume. After that the daemon reaches the store.
func (r *run) withdrawWhileDisconnected(ctx context.Context, disconnect, resume func(*process)) {
	k := r.intN(len(r.daemons))
	p, d := r.daemons[k], r.between(minDisconnection, maxDisconnection)
	p.disturb(d + probeTimeAfter + settleTime)
	disconnect(p)
	key := r.withdrawAnyKey()
	var probes sync.WaitGroup
	defer probes.Wait()
	r.probeFor(ctx, &probes, k, key, d)
	resume(p)
	r.probeFor(ctx, &probes, k, key, probeTimeAfter)
	p.healStore()
}

// probeFor calls a daemon with a key for some time, without waiting for the answers.
func (r *run) probeFor(ctx context.Context, probes *sync.WaitGroup, daemon int, key string, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if sleep.Context(ctx, withdrawnProbeInterval) != nil {
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
