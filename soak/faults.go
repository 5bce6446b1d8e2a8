package soak

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"samphirepoint/sleep"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
)

const (
	// faultInterval bounds the time between the starts of two faults, which overlap.
	faultInterval = 2500 * time.Millisecond
	// splitInterval takes its place in runs with many splits, and restartInterval in those with many restarts of workers. Little work would
	// begin otherwise.
	splitInterval   = 7 * time.Second
	restartInterval = 4 * time.Second
	// configInterval bounds the time between two changes of the configuration, and applyBound the time until one is in force.
	configInterval = 6 * time.Second
	applyBound     = 2 * time.Second
	// burstJobs is the number of jobs of a burst. If one call for advice is made for each step at once, the last ones wait for longer than tickets hold.
	burstJobs = 12
	// settleTime is how long a daemon counts as disturbed after a fault has ended.
	settleTime = time.Second
)

// fault is a kind of disturbance. It returns once the disturbance has ended.
type fault struct {
	name string
	play func(r *run, ctx context.Context)
}

var faults = []fault{
	{"kill", func(r *run, ctx context.Context) { r.restart(ctx, syscall.SIGKILL) }},
	{"leave", func(r *run, ctx context.Context) { r.restart(ctx, syscall.SIGTERM) }},
	{"pause", (*run).pause},
	{"reload", func(r *run, _ context.Context) { r.anyDaemon().signal(syscall.SIGHUP) }},
	{"cut from the store", func(r *run, ctx context.Context) {
		r.disturbStore(ctx, faultproxy.Faults{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}})
	}},
	{"cut one way", func(r *run, ctx context.Context) {
		r.disturbStore(ctx, faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})
	}},
	{"slow store", func(r *run, ctx context.Context) {
		r.disturbStore(ctx, faultproxy.Faults{Down: faultproxy.Direction{Delay: standin.Duration(150 * time.Millisecond)}})
	}},
	{"rejected by the store", func(r *run, ctx context.Context) { r.disturbStore(ctx, faultproxy.Faults{Refuse: true}) }},
	{"silent connections", func(r *run, _ context.Context) {
		p := r.anyDaemon()
		p.disturb(settleTime)
		p.store.BlackHole()
		p.adviser.BlackHole()
	}},
	{"reset connections", func(r *run, _ context.Context) {
		p := r.anyDaemon()
		p.disturb(settleTime)
		p.store.Reset()
		p.instances.Reset()
		p.adviser.Reset()
	}},
	{"parts of the store away", func(r *run, ctx context.Context) { r.takeAway(ctx, 3) }},
	{"store away", func(r *run, ctx context.Context) { r.takeAway(ctx, 1) }},
	{"silent worker", func(r *run, _ context.Context) {
		r.fleet.Silence(r.anyInstance(), r.between(time.Second, 8*time.Second))
	}},
	{"crashed worker", func(r *run, _ context.Context) {
		r.fleet.Crash(r.anyInstance(), r.between(500*time.Millisecond, 5*time.Second))
	}},
	{"wave", (*run).wave},
	{"split", (*run).split},
	{"withdrawal behind a cut", (*run).withdrawDuringCut},
	{"withdrawal behind a pause", (*run).withdrawDuringPause},
	restartOfWorker, restartsInSeries, restartsOfZone, lateCallsAndRestart,
	{"adviser away", (*run).takeAdviserAway},
	{"burst on the advised queue", (*run).burst},
}

// injectFaults begins faults until ctx ends, and waits for their ends.
func (r *run) injectFaults(ctx context.Context) {
	var g errgroup.Group
	interval := faultInterval
	switch {
	case r.options.Splits:
		interval = splitInterval
	case r.options.Restarts:
		interval = restartInterval
	}
	for n := uint64(1); sleep.Context(ctx, r.between(0, interval)) == nil; n++ {
		f := r.drawFault()
		r.mu.Lock()
		r.result.Faults[f.name]++
		r.mu.Unlock()
		g.Go(func() error { f.play(r.withStream(streamOfFaults+n), ctx); return nil })
	}
	_ = g.Wait()
}

// drawFault returns a fault of any kind, in half of the cases one of those that the options ask for.
func (r *run) drawFault() fault {
	var preferred []fault
	if r.options.Splits {
		preferred = append(preferred, splitFaults...)
	}
	if r.options.Restarts {
		preferred = append(preferred, restartFaults...)
	}
	if len(preferred) > 0 && r.intN(2) == 0 {
		return preferred[r.intN(len(preferred))]
	}
	return faults[r.intN(len(faults))]
}

func (r *run) anyDaemon() *process { return r.daemons[r.intN(len(r.daemons))] }

func (r *run) anyInstance() string {
	list := r.fleet.Instances(pools[r.intN(len(pools))])
	if len(list) == 0 {
		return ""
	}
	return list[r.intN(len(list))]
}

// restart ends a daemon by a signal and starts it again.
func (r *run) restart(_ context.Context, s syscall.Signal) {
	p := r.anyDaemon()
	if !p.beginRestart() {
		return
	}
	if s != syscall.SIGTERM {
		p.disturb(graceTime)
	}
	p.signal(s)
	if !p.hasExited(graceTime + killReserve) {
		p.disturb(graceTime)
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.hasExited(graceTime)
	}
	p.disturb(settleTime)
	time.Sleep(r.between(100*time.Millisecond, 2*time.Second))
	p.disturb(settleTime)
	if err := p.start(); err != nil {
		r.violate("%s: %v", p.name, err)
	}
}

// pause stops a daemon for some seconds.
func (r *run) pause(context.Context) {
	p := r.anyDaemon()
	d := r.between(200*time.Millisecond, 6*time.Second)
	p.disturb(d + settleTime)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// disturbStore puts faults between a daemon and the store for some seconds.
func (r *run) disturbStore(ctx context.Context, f faultproxy.Faults) {
	p := r.anyDaemon()
	d := r.between(300*time.Millisecond, 6*time.Second)
	p.disturb(d + settleTime)
	p.store.Set(f)
	_ = sleep.Context(ctx, d)
	p.store.Set(faultproxy.Faults{})
}

// burst submits many jobs of the advised queue at once. Their tasks are short: long ones behind a low cap would outlast the run.
func (r *run) burst(context.Context) {
	var g errgroup.Group
	for range burstJobs {
		g.Go(func() error { r.submit(advisedQueue, shortSpec, r.newClients()); return nil })
	}
	_ = g.Wait()
}

// takeAdviserAway cuts all daemons off from the adviser for some seconds, or makes it reject them.
func (r *run) takeAdviserAway(ctx context.Context) {
	f := faultproxy.Faults{Refuse: true}
	if r.intN(2) == 0 {
		f = faultproxy.Faults{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}}
	}
	r.setAdviserFaults(f)
	_ = sleep.Context(ctx, r.between(300*time.Millisecond, 4*time.Second))
	r.setAdviserFaults(faultproxy.Faults{})
}

func (r *run) setAdviserFaults(f faultproxy.Faults) {
	for _, p := range r.daemons {
		p.adviser.Set(f)
	}
}

// takeAway takes about one of so many parts of the store away for some seconds.
func (r *run) takeAway(ctx context.Context, oneOf int) {
	salt := r.intN(1 << 20)
	d := r.between(300*time.Millisecond, 5*time.Second)
	r.mu.Lock()
	r.storeDisturbed = time.Now().Add(d)
	r.mu.Unlock()
	r.fleet.TakeAway(func(part string) bool {
		return int((xxhash.Sum64String(part)+uint64(salt))%uint64(oneOf)) == 0
	})
	_ = sleep.Context(ctx, d)
	r.fleet.TakeAway(nil)
}

// storeCalm reports whether the store has not been disturbed for stableTime.
func (r *run) storeCalm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.storeDisturbed) > stableTime
}

// wave requests the upkeep of half of a pool's instances.
func (r *run) wave(context.Context) {
	list := r.fleet.Instances(pools[r.intN(len(pools))])
	r.mu.Lock()
	id := 100 + r.result.Faults["wave"]
	r.mu.Unlock()
	if err := r.fleet.Wave(id, list[:len(list)/2], 2); err != nil {
		r.violate("wave: %v", err)
	}
}

// endFaults ends all faults that last.
func (r *run) endFaults() {
	r.fleet.TakeAway(nil)
	r.heal()
	for _, p := range r.daemons {
		p.store.Set(faultproxy.Faults{})
		p.signal(syscall.SIGCONT)
	}
}

// changeConfiguration adds and removes a queue, and changes the caps, until ctx ends. After the bound, undisturbed daemons must answer as the newest version
// says, and keep doing so.
func (r *run) changeConfiguration(ctx context.Context) {
	for extra := true; sleep.Context(ctx, r.between(configInterval/2, configInterval)) == nil; extra = !extra {
		if err := r.configure(func() { r.extra = extra; r.drawCaps() }); err != nil {
			r.violate("configuration: %v", err)
		}
		began := time.Now()
		_ = sleep.Context(ctx, applyBound)
		for time.Since(began) < configInterval/2 && ctx.Err() == nil {
			for _, p := range r.daemons {
				r.checkRoute(p, extra)
			}
			_ = sleep.Context(ctx, 200*time.Millisecond)
		}
	}
}

func (r *run) checkRoute(p *process, extra bool) {
	calm := p.serving() && r.storeCalm()
	status, _, err := p.ask(call{method: http.MethodGet, queue: extraQueue, id: strings.Repeat("0", 16), key: r.drawKey()}, nil)
	if err != nil || !calm || !p.serving() || !r.storeCalm() {
		return
	}
	if known := status != http.StatusNotFound; known != extra {
		r.violate("CONFIG: %s answers %d for a route whose presence is %t", p.name, status, extra)
	}
}
