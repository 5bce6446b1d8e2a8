package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/platform"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/jobfleet"
	"samphirepoint/standin/ports"
)

const (
	// graceTime is the grace period of the settings; killReserve is what a process may take beyond it.
	graceTime   = 6 * time.Second
	killReserve = time.Second
	// requestTimeout is the deadline of a caller.
	requestTimeout = 3 * time.Second
	// stableTime is how long a daemon or the store must be undisturbed before bounds apply.
	stableTime = 3 * time.Second
	// peerPort is the offset of the port for other daemons.
	peerPort = 2
)

// process is a daemon: one process at a time, with its own proxies to the store and to the instance service.
type process struct {
	name, zone, settings, dir, program string
	env                                []string
	port                               int
	reservation                        net.Listener
	maxLease                           time.Duration
	store, instances, adviser          *faultproxy.Proxy

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	starts         int
	leaving        bool
	restarting     bool
	paused         bool
	disturbedUntil time.Time
}

// startDaemons starts all daemons and waits until they serve.
func (r *run) startDaemons(ctx context.Context) error {
	for k := range r.options.Daemons {
		p := &process{
			name: fmt.Sprintf("edge-%d", k), zone: jobfleet.Zones[k%len(jobfleet.Zones)], dir: r.options.Dir, program: r.options.Program, env: r.options.Env,
			maxLease: r.fleet.MaxLease,
		}
		r.daemons = append(r.daemons, p)
		if err := p.prepare(r.fleet); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, p := range r.daemons {
		for {
			if status, _, err := p.ask(call{method: http.MethodGet, queue: queues[0], key: r.drawValidKey()}, nil); err == nil && status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("soak: %s does not serve after %s", p.name, startTime)
			}
			if p.hasExited(100 * time.Millisecond) {
				return fmt.Errorf("soak: %s has ended at its start", p.name)
			}
		}
	}
	return nil
}

// prepare chooses ports, starts the proxies and writes the settings file.
func (p *process) prepare(fleet *jobfleet.Fleet) (err error) {
	if p.port, p.reservation, err = ports.Reserve(); err != nil {
		return err
	}
	self := jobfleet.Endpoint{Kind: jobfleet.EndpointDaemon, Zone: p.zone, Name: p.name}
	view, err := fleet.NewView(self, fmt.Sprintf("127.0.0.1:%d", p.port+peerPort))
	if err != nil {
		return err
	}
	if p.store, err = faultproxy.New("127.0.0.1:0", view.StoreAddress()); err != nil {
		return err
	}
	if p.instances, err = faultproxy.New("127.0.0.1:0", view.CloudAddress()); err != nil {
		return err
	}
	if p.adviser, err = faultproxy.New("127.0.0.1:0", view.AdviserAddress()); err != nil {
		return err
	}
	p.settings = filepath.Join(p.dir, p.name+".yaml")
	text := fmt.Sprintf("node: %s\nzone: %s\nip: 127.0.0.1\nlisten: {front: \"127.0.0.1:%d\", ready: \"127.0.0.1:%d\"}\nport_range: [%d, %d]\n"+
		"platform: {address: %q}\ncloud: {address: %q}\nadvice: %q\nbounds: {grace_s: %d, hold_max_ms: %d, status_s: 120, lease_ms: 3000, finish_s: %d,\n"+
		"  strict_revoke: true, revoke_ms: %d, apply_ms: %d, quota_overage: %g}\n",
		p.name, p.zone, p.port, p.port+1, p.port+peerPort, p.port+3, p.store.Address(), p.instances.Address(), p.adviser.Address(), int(graceTime.Seconds()), p.maxLease.Milliseconds(), int(finishTime.Seconds()),
		revokeTime.Milliseconds(), applyTime.Milliseconds(), quotaOverage)
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the process, with a log file of its own.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	log, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "daemon")
	cmd.Env = append(append(os.Environ(), platform.SettingsVariable+"="+p.settings), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.leaving, p.paused, p.restarting = cmd, exited, false, false, false
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// beginRestart reserves the daemon for a restart, which start ends. It reports false while the daemon is being restarted or paused.
func (p *process) beginRestart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarting || p.paused {
		return false
	}
	p.restarting = true
	return true
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	switch s {
	case syscall.SIGTERM:
		p.leaving = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.cmd.Process.Signal(s)
}

// disturb records that the daemon is disturbed for the given time.
func (p *process) disturb(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.disturbedUntil) {
		p.disturbedUntil = until
	}
}

// undisturbed reports whether nothing has disturbed the daemon for stableTime, beside a request to leave.
func (p *process) undisturbed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disturbedUntil) > stableTime
}

// serving reports whether the daemon is undisturbed and not leaving.
func (p *process) serving() bool {
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	return !leaving && p.undisturbed()
}

// hasExited waits for the end of the process.
func (p *process) hasExited(within time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// errCut is the error of a request whose new connection ended without a complete answer.
var errCut = errors.New("soak: the connection ended without an answer")

// call is a call of a caller.
type call struct {
	method string
	queue  queue
	// id is the job's, or "" for the queue itself. key is the API key, or "" for a call without one.
	id, key, body string
}

func (c call) path() string { return "/" + c.queue.name + "/" + c.id }

// ask sends a request on a connection of the client, or on a new one if that is nil.
func (p *process) ask(c call, client *http.Client) (int, string, error) {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	written, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) { written = i.Err == nil },
	})
	req, err := http.NewRequestWithContext(ctx, c.method, fmt.Sprintf("http://127.0.0.1:%d%s", p.port, c.path()), strings.NewReader(c.body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Authorization", "Token "+c.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		if written && !reused && ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) {
			return 0, "", fmt.Errorf("%w: %w", errCut, err)
		}
		return 0, "", err
	}
	defer resp.Body.Close()
	var out strings.Builder
	if _, err := copyBody(&out, resp.Body); err != nil {
		return 0, "", fmt.Errorf("%w: %w", errCut, err)
	}
	return resp.StatusCode, out.String(), nil
}

// stopDaemons ends all processes by SIGTERM and checks that they exit within their grace period.
func (r *run) stopDaemons() {
	var g errgroup.Group
	for _, p := range r.daemons {
		p.signal(syscall.SIGTERM)
		g.Go(func() error {
			if !p.hasExited(graceTime + killReserve) {
				r.violate("%s has not exited %s after SIGTERM", p.name, graceTime+killReserve)
			} else if code := p.cmd.ProcessState.ExitCode(); code != 0 {
				r.violate("%s exited with status %d after SIGTERM", p.name, code)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// killAll ends all processes that still run, and gives back their ports.
func (r *run) killAll() {
	for _, p := range r.daemons {
		if p.cmd != nil {
			p.signal(syscall.SIGKILL)
			p.hasExited(killReserve)
		}
		for _, proxy := range []*faultproxy.Proxy{p.store, p.instances, p.adviser} {
			if proxy != nil {
				proxy.Close()
			}
		}
		if p.reservation != nil {
			_ = p.reservation.Close()
		}
	}
}
