// Package configsync keeps an entry's configuration at the version in the table and reports whether the entry may
// still admit work under it.
//
// The table is authoritative for versions. An entry polls the version row and receives versions by gossip. It never
// installs a lower version, and it is fresh only while it has read the table or exchanged gossip with a majority of the
// members within the last 5 s. An accepted version is installed at a majority, so each group of entries that stays
// fresh without the table includes one that has the version.
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

// Defaults of Config (section 3.3 of the design document).
const (
	DefaultPollInterval = 2 * time.Second
	DefaultFreshFor     = 5 * time.Second
	DefaultBackoffMin   = 500 * time.Millisecond
	DefaultBackoffMax   = 8 * time.Second

	// pollJitter is the relative jitter of the poll interval, up or down.
	pollJitter = 0.2
	// pollTimeout bounds the read of the version row. With it and the longest interval, two polls of a slow table start
	// at most 4.4 s apart, which is within the freshness bound.
	pollTimeout = 2 * time.Second
	// documentTimeout bounds the read of the document from the table.
	documentTimeout = 3 * time.Second
	// catchUpInterval is the time between two checks of the versions received by gossip.
	catchUpInterval = 250 * time.Millisecond
	// fetchTimeout bounds the transfer of a document from one peer before the next peer is tried.
	fetchTimeout = 500 * time.Millisecond
	// behindGracePeriod is the time for which an entry may admit work under a version that it last knew to be current, while
	// it gets a newer one. That knowledge is at most 5 s old, so the sum stays within the 7 s of property P8.
	behindGracePeriod = time.Second
	// minRetryDelay prevents full jitter from retrying without a delay.
	minRetryDelay = 50 * time.Millisecond
)

// Peers is the Syncer's access to the other entries; *peer.Gossip implements it.
type Peers interface {
	Members() *membership.Snapshot
	// Document returns a member's configuration, or nil if it is not newer than version known.
	Document(ctx context.Context, id string, known int64) (*table.Document, error)
	// Install sends a document to a member and returns the version in force there afterwards.
	Install(ctx context.Context, id string, doc *table.Document) (int64, error)
	// Contacts reports whether gossip was exchanged with a majority within the freshness bound, and the highest version
	// that the members of these exchanges had in force.
	Contacts(now time.Time) (majority bool, newest int64)
	// Quorum reports whether the members in ids are a majority, and the number of members that count.
	Quorum(ids []string) (majority bool, members int)
	// Refresh publishes the entry's new version to the peers.
	Refresh()
}

// Config configures a Syncer.
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
	// lastPollStart is the start time of the last successful poll.
	lastPollStart atomic.Pointer[time.Time]
	// currentAt is the last time at which the entry was found to be fresh without the grace period, nil before the first
	// such time.
	currentAt atomic.Pointer[time.Time]
}

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

// Version returns the version in force, 0 before the first one.
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

// Fresh reports whether the entry may admit work at time now: it has read the table within the last 5 s, or has
// exchanged gossip with a majority and has the versions that these members had in force. A version that it only knows
// of through other members is ignored, since any majority includes a member that has an accepted version. An entry that
// returns from a pause or a partition to newer versions has no grace period, since they may have been accepted long ago.
func (s *Syncer) Fresh(now time.Time) bool {
	version := s.Version()
	if version == 0 {
		return false
	}
	if s.polledRecently(now) {
		return true
	}
	majority, newest := s.config.Peers.Contacts(now)
	if !majority || newest <= version {
		return majority
	}
	currentAt := s.currentAt.Load()
	return currentAt != nil && now.Sub(*currentAt) <= behindGracePeriod
}

// polledRecently reports whether a successful poll of the table started within the freshness bound.
func (s *Syncer) polledRecently(now time.Time) bool {
	start := s.lastPollStart.Load()
	return start != nil && now.Sub(*start) <= s.config.FreshFor
}

// Run polls the table and catches up with the peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.pollLoop(ctx) })
	group.Go(func() error { return s.catchUpLoop(ctx) })
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

// backoff returns the delay before a retry, with full jitter. failures is the number of consecutive failures before
// the latest one.
func (s *Syncer) backoff(failures int) time.Duration {
	limit := s.config.BackoffMin << min(failures, 16)
	return max(time.Duration(rand.Float64()*float64(min(limit, s.config.BackoffMax))), minRetryDelay)
}

func (s *Syncer) catchUpLoop(ctx context.Context) error {
	for {
		s.CatchUp(ctx)
		if err := sleep.Context(ctx, catchUpInterval); err != nil {
			return err
		}
	}
}

// Poll reads the version from the table once, and the document if the version is newer. Freshness counts from the
// start of a successful poll.
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
	s.lastPollStart.Store(&start)
	return nil
}

// readVersion reads the small version row. A table that was written without this row has only the document, which is
// read instead.
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

// readDocument installs the document in the table, whose version must be at least the given one.
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

// CatchUp checks once which versions the peers have in force and gets a newer one from the table, or from a peer if the
// table has not answered recently or does not return it. An entry without a version accepts one from a peer only after
// it has exchanged gossip with a majority: the first peer that it contacts may be behind, and a restart must not undo
// the installation of a version at a majority.
func (s *Syncer) CatchUp(ctx context.Context) {
	now := s.config.Now()
	members := s.config.Peers.Members()
	newest, holders := members.NewestConfig()
	majority, contacted := s.config.Peers.Contacts(now)
	version := s.Version()
	polled := s.polledRecently(now)
	if polled || (majority && contacted <= version) {
		s.currentAt.Store(&now)
	}
	newest = max(newest, contacted)
	if newest <= version {
		return
	}
	if polled && s.pollWithTimeout(ctx, fetchTimeout) && s.Version() >= newest {
		return
	}
	if version == 0 && !majority {
		return
	}
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, m := range holders {
		if m.ID != members.Self && s.fetchFromPeer(ctx, m.ID) && s.Version() >= newest {
			return
		}
	}
}

func (s *Syncer) pollWithTimeout(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Poll(ctx) == nil
}

func (s *Syncer) fetchFromPeer(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	doc, err := s.config.Peers.Document(ctx, id, s.Version())
	if err != nil {
		s.config.Log.Debug().Str("peer", id).Err(err).Msg("failed to fetch configuration from peer")
		return false
	}
	s.Install(doc)
	return doc != nil
}
