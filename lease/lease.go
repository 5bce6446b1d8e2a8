// Package lease elects one holder of a named role with a row in the platform's table.
//
// The row leases/<name> = {holder, token, expires} is renewed every RenewInterval. The token is a fencing token,
// which increases by one with each new holder. A transaction that adds Condition to its writes is rejected
// as soon as another holder has acquired the row, regardless of how long the old holder was paused.
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
	// Prefix is the key prefix of lease rows.
	Prefix = "leases/"
	// Duration is the time after which another process may acquire an unchanged row.
	Duration = 10 * time.Second
	// RenewInterval is the time between renewals. It allows three attempts within Duration.
	RenewInterval = 3 * time.Second
	// safetyMargin is the time by which the holder's own validity ends before Duration, so that no two processes
	// consider themselves holder if the rates of their clocks differ by up to 10 %.
	safetyMargin = time.Second
	// callTimeout bounds one call to the table, so that a slow call does not use up the lease.
	callTimeout = 2 * time.Second
)

// ErrNotHeld reports that this process does not hold the lease, or cannot be sure of it.
var ErrNotHeld = errors.New("lease is not held")

// Record is the value of a lease row.
type Record struct {
	// Holder is the name of the process, for operators; it is empty after a release.
	Holder string `json:"holder"`
	// Nonce is unique to one incarnation of the holder, so that a restarted process counts as another holder.
	Nonce string `json:"nonce"`
	// Token increases by one with each new holder.
	Token int64 `json:"token"`
	// Expires is a time of the holder's wall clock, for display only; observers use their own clock.
	Expires time.Time `json:"expires"`
}

// Lease is one process's view of a lease row. It is safe for concurrent use.
type Lease struct {
	table services.Table
	key   string
	name  string
	nonce string
	now   func() time.Time

	stepMu sync.Mutex // held during calls to the table

	mu         sync.Mutex
	held       bool
	record     Record
	version    int64
	validUntil time.Time
	// observedAt is the time at which this process first observed the row at version.
	observedAt time.Time
	observed   bool
	// pendingSince is the start of the oldest write since the last known outcome, or zero. A delayed
	// write may take effect at any time after its start, so validity is counted from there.
	pendingSince time.Time
}

// New returns a lease that is not held yet. now must return times with a monotonic clock reading, as time.Now does.
func New(table services.Table, name, holder string, now func() time.Time) *Lease {
	return &Lease{table: table, key: Prefix + name, name: holder, nonce: uuid.NewString(), now: now}
}

// Condition returns the element that makes a transaction fail once another holder has acquired
// the lease. It returns ErrNotHeld if the lease is not held or has expired by the
// monotonic clock, for instance after a pause of the process.
func (l *Lease) Condition() (services.Write, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.now().Before(l.validUntil) {
		return services.Write{}, ErrNotHeld
	}
	return services.Write{Key: l.key, IfVersion: l.version, Check: true}, nil
}

// Token returns the fencing token and reports whether the lease is held now.
func (l *Lease) Token() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Token, l.held && l.now().Before(l.validUntil)
}

// LastRecord returns the last record observed in the table.
func (l *Lease) LastRecord() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Run calls Step every RenewInterval until ctx ends, then releases the lease.
func (l *Lease) Run(ctx context.Context) error {
	for {
		// An error is handled by the next attempt; Condition fails without further action
		// once the lease has expired.
		_ = l.Step(ctx)
		// Jitter of 10 % prevents observers from attempting the takeover at the same time.
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

// Step renews the lease if it is held, acquires it if it is free or its row has not changed for
// Duration, and otherwise observes the row.
func (l *Lease) Step(ctx context.Context) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
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
		// A takeover whose outcome was unknown took effect later.
		l.held, l.validUntil = true, l.pendingSince.Add(Duration-safetyMargin)
	}
	held = l.held
	free := l.version == 0 || l.record.Holder == "" || l.now().Sub(l.observedAt) > Duration
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

// Release releases the lease, so that the next holder does not have to wait for its expiry.
func (l *Lease) Release(ctx context.Context) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
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

// write renews or acquires the row. Its validity is counted from before the call, since the
// write may take effect at any time after that.
func (l *Lease) write(ctx context.Context, version, token int64) error {
	start := l.now()
	record := Record{Holder: l.name, Nonce: l.nonce, Token: token, Expires: start.Add(Duration).UTC()}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	if l.pendingSince.IsZero() {
		l.pendingSince = start
	}
	l.mu.Unlock()
	versions, err := l.table.Commit(ctx, []services.Write{{Key: l.key, IfVersion: version, Value: value}})
	if err == nil {
		l.setHeld(record, versions[0], start)
		return nil
	}
	// Whether the write conflicted with another one or only its reply was lost, the row shows who holds the lease.
	return errors.Join(ignoreConflict(err), l.resolveWrite(ctx, version))
}

func ignoreConflict(err error) error {
	if errors.Is(err, services.ErrConflict) {
		return nil
	}
	return err
}

func (l *Lease) setHeld(r Record, version int64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.record, l.version = true, r, version
	l.validUntil = start.Add(Duration - safetyMargin)
	l.observed, l.observedAt = true, l.now()
	l.pendingSince = time.Time{}
}

// resolveWrite reads the row to determine the outcome of a write. required is the version that the write required.
func (l *Lease) resolveWrite(ctx context.Context, required int64) error {
	// The write may have used up its timeout, so the read has its own shorter timeout.
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
		l.setObserved(row.Version, record)
		return nil
	}
	if row.Version > required {
		l.mu.Lock()
		start := l.pendingSince
		l.mu.Unlock()
		l.setHeld(record, row.Version, start)
	}
	return nil
}

// observe reads the row and records when it changed.
func (l *Lease) observe(ctx context.Context) error {
	row, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.setObserved(row.Version, record)
	return nil
}

func (l *Lease) setObserved(version int64, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.observed || version != l.version {
		l.observedAt = l.now()
	}
	l.observed, l.version, l.record = true, version, r
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
