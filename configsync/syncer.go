// Package configsync keeps an entry's configuration at the version that the table holds and tells whether the entry
// may still admit work under it.
//
// The table alone decides the versions. An entry polls the version row and hears of versions by gossip, it never
// installs a lower version, and it is fresh only while it has read the table or exchanged gossip with a majority
// of the members within the last 5 s. An accepted version is installed by a majority, so each group
// that stays fresh without the table holds an entry that has it.
package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/membership"
	"samphirepoint/services"
	"samphirepoint/sleep"
	"samphirepoint/table"
)

// Defaults of Config (section 3.3 of the design page).
const (
	DefaultPollInterval = 2 * time.Second
	DefaultFreshFor     = 5 * time.Second
	DefaultBackoffMin   = 500 * time.Millisecond
	DefaultBackoffMax   = 8 * time.Second

	// pollJitter is the spread of the poll interval.
	pollJitter = 0.2
	// pollTimeout bounds a poll. With it and the longest interval, two polls of a slow table start 4.4 s apart, which
	// is within the freshness bound.
	pollTimeout = 2 * time.Second
	// documentTimeout bounds the read of the document from the table.
	documentTimeout = 3 * time.Second
	// watchInterval is the time between two looks at the versions heard by gossip.
	watchInterval = 250 * time.Millisecond
	// fetchTimeout bounds the transfer from one peer before the next one is tried.
	fetchTimeout = 500 * time.Millisecond
	// behindGrace is the time that an entry may admit work while it knows of a version that it could not get yet. A
	// version is heard within 5 s of its acceptance, so the sum stays within the 7 s of P8.
	behindGrace = time.Second
	// minRetry keeps full jitter from retrying at once.
	minRetry = 50 * time.Millisecond
)

// Peers is what the Syncer needs of the other entries; *peer.Gossip implements it.
type Peers interface {
	Members() *membership.Snapshot
	// Document returns a member's configuration, nil if it is not newer than version known.
	Document(ctx context.Context, id string, known int64) (*table.Document, error)
	// Install hands a document to a member and returns the version in force there afterwards.
	Install(ctx context.Context, id string, doc *table.Document) (int64, error)
	// Contacts reports whether gossip was exchanged with a majority within the freshness bound, and the highest version
	// that the members of these exchanges had in force.
	Contacts(now time.Time) (majority bool, newest int64)
	// Quorum tells whether the members in ids are a majority, and the number of members that count.
	Quorum(ids []string) (majority bool, members int)
	// Refresh shows the entry's new version to the peers.
	Refresh()
}

// Config describes a Syncer.
type Config struct {
	Table        services.Table
	Peers        Peers
	PollInterval time.Duration
	FreshFor     time.Duration
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	// OnInstall, if set, is called after each change of the document in force, from the goroutine that installed it.
	OnInstall func(*table.Document)
	Log       zerolog.Logger
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Syncer holds the document in force. All methods are safe for concurrent use.
type Syncer struct {
	config Config
	doc    atomic.Pointer[table.Document]
	// readAt is the start of the last successful poll.
	readAt atomic.Pointer[time.Time]
	behind atomic.Pointer[heard]
}

// heard tells since when the entry knows that a peer has a version which it has not.
type heard struct{ since time.Time }

// New returns a Syncer without a document.
func New(c Config) *Syncer {
	if c.PollInterval == 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.FreshFor == 0 {
		c.FreshFor = DefaultFreshFor
	}
	if c.BackoffMin == 0 {
		c.BackoffMin = DefaultBackoffMin
	}
	if c.BackoffMax == 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Syncer{config: c}
}

// Snapshot returns the document in force, nil before the first one. Callers must not change it.
func (s *Syncer) Snapshot() *table.Document { return s.doc.Load() }

// Version is the version in force, 0 before the first one.
func (s *Syncer) Version() int64 {
	if doc := s.doc.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Install puts a document in force if its version is higher than the present one, and returns the version in
// force afterwards.
func (s *Syncer) Install(doc *table.Document) int64 {
	for {
		old := s.doc.Load()
		if doc == nil || doc.Version <= 0 || (old != nil && doc.Version <= old.Version) {
			return s.Version()
		}
		if s.doc.CompareAndSwap(old, doc) {
			break
		}
	}
	s.config.Log.Info().Int64("version", doc.Version).Msg("configuration installed")
	s.config.Peers.Refresh()
	if s.config.OnInstall != nil {
		s.config.OnInstall(doc)
	}
	return s.Version()
}

// Fresh reports whether the entry may admit work at time now: it has read the table within the last 5 s, or exchanged
// gossip with a majority and has the versions that it met there. A version that is only known through others
// does not matter, since an accepted one is met at one of any majority of members.
func (s *Syncer) Fresh(now time.Time) bool {
	version := s.Version()
	if version == 0 {
		return false
	}
	if read := s.readAt.Load(); read != nil && now.Sub(*read) <= s.config.FreshFor {
		return true
	}
	majority, newest := s.config.Peers.Contacts(now)
	if !majority || newest <= version {
		return majority
	}
	b := s.behind.Load()
	return b == nil || now.Sub(b.since) <= behindGrace
}

// Run polls the table and follows the peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.pollLoop(ctx) })
	group.Go(func() error { return s.watchLoop(ctx) })
	return group.Wait()
}

func (s *Syncer) pollLoop(ctx context.Context) error {
	failures := 0
	for {
		err := s.Poll(ctx)
		var wait time.Duration
		if err == nil {
			failures = 0
			wait = time.Duration(float64(s.config.PollInterval) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
		} else {
			wait = s.backoff(failures)
			failures++
			if ctx.Err() == nil {
				s.config.Log.Warn().Err(err).Int("failures", failures).Msg("configuration poll failed")
			}
		}
		if err := sleep.Context(ctx, wait); err != nil {
			return err
		}
	}
}

// backoff returns the wait after the given number of earlier failures in a row, with full jitter.
func (s *Syncer) backoff(failures int) time.Duration {
	limit := s.config.BackoffMin << min(failures, 16)
	return max(time.Duration(rand.Float64()*float64(min(limit, s.config.BackoffMax))), minRetry)
}

func (s *Syncer) watchLoop(ctx context.Context) error {
	for {
		s.CatchUp(ctx)
		if err := sleep.Context(ctx, watchInterval); err != nil {
			return err
		}
	}
}

// Poll reads the version from the table once and the document if it is newer. The start of a successful poll counts
// for freshness.
func (s *Syncer) Poll(ctx context.Context) error {
	start := s.config.Now()
	version, err := s.readVersion(ctx)
	if err != nil {
		return err
	}
	if version > s.Version() {
		if err := s.readDocument(ctx, version); err != nil {
			return err
		}
	}
	s.readAt.Store(&start)
	return nil
}

// readVersion reads the small version row. A table that was written without it has only the document.
func (s *Syncer) readVersion(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	row, err := s.config.Table.Get(ctx, table.KeyVersion)
	if err != nil {
		return 0, err
	}
	if row.Version == 0 {
		return 0, s.readDocument(ctx, 0)
	}
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil || version <= 0 {
		return 0, fmt.Errorf("row %s: %q is not a version", table.KeyVersion, row.Value)
	}
	return version, nil
}

// readDocument installs the document of the table, which must be of the given version or a later one.
func (s *Syncer) readDocument(ctx context.Context, atLeast int64) error {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	row, err := s.config.Table.Get(ctx, table.KeyCurrent)
	if err != nil {
		return err
	}
	if row.Version == 0 {
		if atLeast == 0 {
			return nil
		}
		return errors.New("row " + table.KeyCurrent + " is absent")
	}
	var doc table.Document
	if err := json.Unmarshal(row.Value, &doc); err != nil {
		return fmt.Errorf("row %s: %w", table.KeyCurrent, err)
	}
	if doc.Version < atLeast {
		return fmt.Errorf("row %s has version %d, row %s has %d", table.KeyCurrent, doc.Version, table.KeyVersion, atLeast)
	}
	s.Install(&doc)
	return nil
}

// CatchUp looks once at the versions that peers have in force and gets a newer one from the table, or from a peer if the
// table did not answer lately. An entry without a version takes one from a peer only after an exchange with
// a majority: the first peer it meets may be behind, and restarts must not undo that a majority has a version.
func (s *Syncer) CatchUp(ctx context.Context) {
	now := s.config.Now()
	members := s.config.Peers.Members()
	newest, holders := members.NewestConfig()
	majority, met := s.config.Peers.Contacts(now)
	newest = max(newest, met)
	version := s.Version()
	if newest <= version {
		s.behind.Store(nil)
		return
	}
	if s.behind.Load() == nil {
		s.behind.Store(&heard{now})
	}
	if read := s.readAt.Load(); read != nil && now.Sub(*read) <= s.config.FreshFor {
		if s.pollFor(ctx, fetchTimeout) && s.Version() >= newest {
			return
		}
	}
	if version == 0 && !majority {
		return
	}
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, m := range holders {
		if m.ID != members.Self && s.fetch(ctx, m.ID) && s.Version() >= newest {
			return
		}
	}
}

func (s *Syncer) pollFor(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Poll(ctx) == nil
}

func (s *Syncer) fetch(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	doc, err := s.config.Peers.Document(ctx, id, s.Version())
	if err != nil {
		s.config.Log.Debug().Str("peer", id).Err(err).Msg("configuration not fetched from peer")
		return false
	}
	s.Install(doc)
	return doc != nil
}
