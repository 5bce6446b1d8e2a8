package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"samphirepoint/sleep"
)

const (
	// keyInterval bounds the time between two changes of the keys. A third of it is the least.
	keyInterval = 2400 * time.Millisecond
	// probeInterval is the time between two calls that probe the keys.
	probeInterval = 60 * time.Millisecond
	// neverIssuedKey is a key that no workspace has.
	neverIssuedKey = "key-never-issued"
	// invalidShare is the share of calls, one of so many, that carry no key or one that never existed, and withdrawnShare that of calls with a
	// withdrawn key.
	invalidShare   = 8
	withdrawnShare = 4
)

// KeyChecks counts the changes of keys in a run, and the answers that were checked against them.
type KeyChecks struct {
	Added, Withdrawn, LastWithdrawn int
	// RevokedAnswers are answers to calls sent with a key that no daemon may accept any more, NewKeyAnswers answers of undisturbed daemons to
	// calls with keys that they must know, InvalidAnswers answers to calls without a key or with one that never existed.
	RevokedAnswers, NewKeyAnswers, InvalidAnswers int
}

// changeKeys withdraws and adds keys until ctx ends. In the end each workspace has a key, by which its jobs can be checked.
func (r *run) changeKeys(ctx context.Context) {
	for sleep.Context(ctx, r.between(keyInterval/3, keyInterval)) == nil {
		r.writeKeys(r.drawKeyChange)
	}
	r.writeKeys(func() {
		for _, name := range r.workspaces.names {
			if len(r.workspaces.keysOf(name)) == 0 {
				r.addKey(name)
			}
		}
	})
}

func (r *run) writeKeys(change func()) {
	if err := r.configure(change); err != nil {
		r.violate("configuration: %v", err)
	}
}

// drawKeyChange changes the keys of a workspace: one is added, withdrawn, the last one included, or replaced.
func (r *run) drawKeyChange() {
	name := r.workspaces.names[r.intN(len(r.workspaces.names))]
	keys := r.workspaces.keysOf(name)
	if len(keys) == 0 {
		r.addKey(name)
		return
	}
	switch r.intN(8) {
	case 0, 1:
		r.withdrawKey(keys[r.intN(len(keys))], len(keys) == 1)
	case 2, 3:
		r.withdrawKey(keys[r.intN(len(keys))], false)
		r.addKey(name)
	case 4:
		for k, key := range keys {
			r.withdrawKey(key, k == len(keys)-1)
		}
	default:
		if len(keys) < mostKeys {
			r.addKey(name)
		}
	}
}

func (r *run) addKey(workspace string) {
	r.workspaces.addKey(workspace)
	r.countKeys(func(c *KeyChecks) { c.Added++ })
}

func (r *run) withdrawKey(k apiKey, last bool) {
	r.workspaces.withdrawKey(k.value)
	r.countKeys(func(c *KeyChecks) {
		c.Withdrawn++
		if last {
			c.LastWithdrawn++
		}
	})
}

func (r *run) countKeys(count func(*KeyChecks)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.result.Keys)
}

// drawKey returns the key of a call: mostly one in force, or else one that was withdrawn or never existed, or none.
func (r *run) drawKey() string {
	if r.intN(invalidShare) == 0 {
		return r.drawInvalidKey()
	}
	if withdrawn := r.workspaces.withdrawnKeys(); len(withdrawn) > 0 && r.intN(withdrawnShare) == 0 {
		return withdrawn[r.intN(len(withdrawn))].value
	}
	return r.drawValidKey()
}

func (r *run) drawInvalidKey() string { return []string{"", neverIssuedKey}[r.intN(2)] }

// drawValidKey returns a key in force of any workspace, or "" if there is none.
func (r *run) drawValidKey() string {
	first := r.intN(len(r.workspaces.names))
	for k := range r.workspaces.names {
		if key := r.keyOfWorkspace(r.workspaces.names[(first+k)%len(r.workspaces.names)]); key != "" {
			return key
		}
	}
	return ""
}

// keyOfWorkspace returns a key in force of a workspace, or "".
func (r *run) keyOfWorkspace(workspace string) string {
	keys := r.workspaces.keysOf(workspace)
	if len(keys) == 0 {
		return ""
	}
	return keys[r.intN(len(keys))].value
}

// probeKeys asks all daemons for the length of queues until ctx ends, also those that are paused or cut off.
func (r *run) probeKeys(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for sleep.Context(ctx, probeInterval) == nil {
		q, k := queues[r.intN(len(queues))], r.intN(len(r.daemons))
		key := r.drawKey()
		probes.Go(func() { _, _, _ = r.request(k, call{method: http.MethodGet, queue: q, key: key}, nil) })
	}
}

// certainlyInvalid reports whether no daemon may accept the key in a call that is sent at t.
func (r *run) certainlyInvalid(q queue, key string, t time.Time) bool {
	if q.public {
		return false
	}
	k, issued := r.workspaces.key(key)
	return !issued || k.revokedBy(t)
}

// checkAnswer checks a daemon's answer to a call against the history of its key. calm is set if nothing has disturbed the daemon.
func (r *run) checkAnswer(p *process, c call, sent time.Time, calm bool, status int) {
	rejected := status == http.StatusUnauthorized
	if c.queue.public {
		if rejected {
			r.violate("KEY: %s rejects a call to public queue %s", p.name, c.queue.name)
		}
		return
	}
	k, issued := r.workspaces.key(c.key)
	switch {
	case !issued:
		r.countKeys(func(c *KeyChecks) { c.InvalidAnswers++ })
		if !rejected && status != http.StatusServiceUnavailable {
			r.violate("KEY: %s answers %d to %s %s with key %q, which no workspace has had", p.name, status, c.method, c.path(), c.key)
		}
	case k.revokedBy(sent):
		r.countKeys(func(c *KeyChecks) { c.RevokedAnswers++ })
		if status/100 == 2 {
			r.violate("KEY: %s answers %d to %s %s, sent at %s with key %s, whose withdrawal was acknowledged %s before", p.name, status, c.method, c.path(),
				sent.Format(logTime), c.key, sent.Sub(k.withdrawn))
		}
	case k.appliedBy(sent) && calm:
		r.countKeys(func(c *KeyChecks) { c.NewKeyAnswers++ })
		if rejected {
			r.violate("KEY: %s rejects %s %s, sent at %s with key %s, which was acknowledged %s before", p.name, c.method, c.path(), sent.Format(logTime), c.key, sent.Sub(k.added))
		}
	}
}

// logTime is the format of times that are to be found in logs.
const logTime = "15:04:05.000"
