package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"samphirepoint/rows/memrows"
)

// world is the deployment around the daemons: the platform, the workers, and what is known of the jobs.
type world struct {
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	scratch string
	store   *store

	logMu sync.Mutex
	log   io.Writer
	seen  map[string]bool

	// mu protects the workers and the jobs.
	mu       sync.Mutex
	machines []*machine
	workers  []*worker
	jobs     map[string]*job

	listeners                []net.Listener
	storeAddr, cloud, advice string
	adviser                  *adviser
	daemons                  []*daemon
}

func newWorld(log io.Writer, scratch string) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, cancel: cancel, began: time.Now(), scratch: scratch, log: log, seen: map[string]bool{}, jobs: map[string]*job{}}
	w.store = &store{world: w, rows: memrows.New()}
	w.adviser = &adviser{world: w, issued: map[string]ticket{}}
	return w
}

// close ends the daemons and all listeners.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.listeners {
		_ = l.Close()
	}
}

func (w *world) nowMS() int64 { return time.Since(w.began).Milliseconds() }

// record writes a line with the time since the start.
func (w *world) record(format string, args ...any) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	fmt.Fprintf(w.log, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// recordFirst records only the first line with a key.
func (w *world) recordFirst(key, format string, args ...any) {
	w.logMu.Lock()
	known := w.seen[key]
	w.seen[key] = true
	w.logMu.Unlock()
	if !known {
		w.record(format, args...)
	}
}

// serve serves a handler on a free loopback port.
func (w *world) serve(h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, l)
	w.mu.Unlock()
	go func() { _ = http.Serve(l, h) }()
	return l, nil
}

// start starts the platform and the workers, writes the first configuration, starts the daemons and waits until they serve.
func (w *world) start(pools []pool, config map[string]any, daemons int, paths ...string) error {
	for address, h := range map[*string]http.Handler{&w.storeAddr: w.store.handler(), &w.cloud: w.cloudHandler(), &w.advice: w.adviser.handler()} {
		l, err := w.serve(h)
		if err != nil {
			return err
		}
		*address = l.Addr().String()
	}
	for _, p := range pools {
		if err := w.startPool(p); err != nil {
			return err
		}
	}
	w.configure(config)
	go w.runWorkers()
	for k := range daemons {
		d, err := w.startDaemon(k)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	return w.awaitService(paths)
}

// configure writes a version of the configuration; the store's answer is its acknowledgement.
func (w *world) configure(config map[string]any) {
	w.store.put("op", "config", config)
	w.record("operator: version %v is acknowledged", config["version"])
}

// awaitService waits until every daemon answers requests for the lengths of the queues.
func (w *world) awaitService(paths []string) error {
	limit := time.Now().Add(20 * time.Second)
	for _, d := range w.daemons {
		for _, path := range paths {
			for {
				status, _, err := w.ask(d, http.MethodGet, path, nil)
				if err == nil && status == http.StatusOK {
					break
				}
				if d.hasEnded() {
					return fmt.Errorf("%s has ended at its start", d.name)
				}
				if time.Now().After(limit) {
					return fmt.Errorf("%s does not serve %s: status %d, %v", d.name, path, status, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	w.record("all daemons serve")
	return nil
}

func mustExist(path string) error {
	_, err := os.Stat(path)
	return err
}
