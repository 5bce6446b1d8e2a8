// Package lease elects one holder of a named role by a row of the platform's table.
//
// The row leases/<name> = {holder, token, expires} is renewed every RenewInterval. The token grows
// by one with each new holder. A transaction that adds Condition to its writes is rejected
// as soon as another holder has taken the row, however long the old holder was paused.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"samphirepoint/services"
)

const (
	// Prefix of lease rows.
	Prefix = "leases/"
	// Duration is the time after which an unchanged row may be taken by another process.
	Duration = 10 * time.Second
	// RenewInterval leaves three attempts within Duration.
	RenewInterval = 3 * time.Second
	// safetyMargin ends the holder's own validity early, so that clocks that run at rates
	// up to 10 % apart do not give two processes that consider themselves holder.
	safetyMargin = time.Second
	// callTimeout bounds one call to the table: a slow call must not use up the lease.
	callTimeout = 2 * time.Second
)

// ErrNotHeld reports that this process does not hold the lease, or cannot be sure of it.
var ErrNotHeld = errors.New("lease is not held")

// Record is the value of a lease row.
type Record struct {
	// Holder names the process for operators; empty after a release.
	Holder string `json:"holder"`
	// Nonce is unique to one run of the holder, so that a restarted process is another holder.
	Nonce string `json:"nonce"`
	// Token grows by one with each new holder.
	Token int64 `json:"token"`
	// Expires is by the holder's wall clock and for display only; observers use their own clock.
	Expires time.Time `json:"expires"`
}

// Lease is one process's view of a lease row. It is safe for concurrent use.
type Lease struct {
	table services.Table
	key   string
	name  string
	nonce string
	now   func() time.Time

	step sync.Mutex // held during calls to the table

	mu         sync.Mutex
	held       bool
	record     Record
	version    int64
	validUntil time.Time
	// seenAt is the time at which this process first saw the row at version.
	seenAt time.Time
	seen   bool
	// pending is the start of the oldest write since the last known outcome, or zero. A delayed
	// write may take effect at any moment after it, so validity counts from there.
	pending time.Time
}

// New returns a lease that is not held yet. now must carry a monotonic reading, as time.Now does.
func New(table services.Table, name, holder string, now func() time.Time) *Lease {
	return &Lease{table: table, key: Prefix + name, name: holder, nonce: uuid.NewString(), now: now}
}

// Condition returns the element that makes a transaction fail once another holder took
// the lease. It returns ErrNotHeld if the lease is not held or its time has run out by the
// monotonic clock, as after a pause of the process.
func (l *Lease) Condition() (services.Write, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.now().Before(l.validUntil) {
		return services.Write{}, ErrNotHeld
	}
	return services.Write{Key: l.key, IfVersion: l.version, Check: true}, nil
}

// Token returns the fencing token and whether the lease is held now.
func (l *Lease) Token() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Token, l.held && l.now().Before(l.validUntil)
}

// Holder returns the last record seen in the table.
func (l *Lease) Holder() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Run calls Step every RenewInterval until ctx ends, then releases the lease.
func (l *Lease) Run(ctx context.Context) error {
	for {
		// An error needs no other reaction than the next attempt: Condition fails by itself
		// when the time has run out.
		_ = l.Step(ctx)
		// Jitter of 10 % keeps observers from attempting the takeover at the same moment.
		wait := RenewInterval - time.Duration(rand.Int64N(int64(RenewInterval/10)))
		select {
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			return l.Release(release)
		case <-time.After(wait):
		}
	}
}

// Step renews the lease if it is held, takes it if it is free or has not changed for
// Duration, and otherwise observes the row.
func (l *Lease) Step(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	held, version, record := l.held, l.version, l.record
	l.mu.Unlock()
	if held {
		return l.write(ctx, version, record.Token)
	}
	if err := l.observe(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	if l.version > 0 && l.record.Nonce == l.nonce {
		// A takeover that was given up as unknown took effect later.
		l.held, l.validUntil = true, l.pending.Add(Duration-safetyMargin)
	}
	held = l.held
	free := l.version == 0 || l.record.Holder == "" || l.now().Sub(l.seenAt) > Duration
	version, record = l.version, l.record
	l.mu.Unlock()
	switch {
	case held:
		return l.write(ctx, version, record.Token)
	case free:
		return l.write(ctx, version, record.Token+1)
	}
	return nil
}

// Release gives the lease up, so that the next holder need not wait for its expiry.
func (l *Lease) Release(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	l.mu.Lock()
	held, version, token := l.held, l.version, l.record.Token
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	value, err := json.Marshal(Record{Token: token})
	if err != nil {
		return err
	}
	_, err = l.table.Commit(ctx, []services.Write{{Key: l.key, IfVersion: version, Value: value}})
	return err
}

// write renews or takes the row. The lease's time counts from before the call, since the write
// may take effect at any moment after that.
func (l *Lease) write(ctx context.Context, version, token int64) error {
	start := l.now()
	record := Record{Holder: l.name, Nonce: l.nonce, Token: token, Expires: start.Add(Duration).UTC()}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	if l.pending.IsZero() {
		l.pending = start
	}
	l.mu.Unlock()
	versions, err := l.table.Commit(ctx, []services.Write{{Key: l.key, IfVersion: version, Value: value}})
	if err == nil {
		l.install(record, versions[0], start)
		return nil
	}
	// Whether the write lost a race or only its reply, the row tells who holds the lease.
	return errors.Join(ignoreConflict(err), l.readBack(ctx, version))
}

func ignoreConflict(err error) error {
	if errors.Is(err, services.ErrConflict) {
		return nil
	}
	return err
}

func (l *Lease) install(r Record, version int64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.record, l.version = true, r, version
	l.validUntil = start.Add(Duration - safetyMargin)
	l.seen, l.seenAt = true, l.now()
	l.pending = time.Time{}
}

// readBack decides a write with unknown outcome. before is the version that the write required.
func (l *Lease) readBack(ctx context.Context, before int64) error {
	// The write may have used up its time; reading gets a little of its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout/2)
	defer cancel()
	row, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	if record.Nonce != l.nonce {
		l.mu.Lock()
		l.held = false
		l.mu.Unlock()
		l.note(row.Version, record)
		return nil
	}
	if row.Version > before {
		l.mu.Lock()
		start := l.pending
		l.mu.Unlock()
		l.install(record, row.Version, start)
	}
	return nil
}

// observe reads the row and notes when it changed.
func (l *Lease) observe(ctx context.Context) error {
	row, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.note(row.Version, record)
	return nil
}

func (l *Lease) note(version int64, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seen || version != l.version {
		l.seenAt = l.now()
	}
	l.seen, l.version, l.record = true, version, r
}

func (l *Lease) read(ctx context.Context) (services.Row, Record, error) {
	row, err := l.table.Get(ctx, l.key)
	if err != nil || row.Version == 0 {
		return row, Record{}, err
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return row, Record{}, fmt.Errorf("row %s: %w", l.key, err)
	}
	return row, r, nil
}
