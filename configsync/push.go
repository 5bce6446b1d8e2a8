package configsync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"samphirepoint/membership"
	"samphirepoint/sleep"
	"samphirepoint/table"
)

const (
	// pushTimeout bounds the push in the background; entries that were unreachable for longer get the version by polling
	// or gossip.
	pushTimeout = time.Minute
	// pushRetryInterval is the delay between two attempts to reach peers that did not answer.
	pushRetryInterval = 500 * time.Millisecond
)

// PushAccepted installs a document that was committed to the table at this entry and at all peers. It returns the number
// of members that have this version or a later one in force, and the number of members that count, as soon as the former
// are more than half of the latter or when ctx ends. The push continues in the background until all members have the
// document, for at most one minute.
func (s *Syncer) PushAccepted(ctx context.Context, doc *table.Document) (installed, members int) {
	s.Install(doc)
	p := &push{syncer: s, doc: doc, holders: map[string]bool{}, changed: make(chan struct{}, 1)}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		p.run(background)
	}()
	for {
		installed, members = p.progress()
		if 2*installed > members {
			return installed, members
		}
		select {
		case <-p.changed:
		case <-done:
			return p.progress()
		case <-ctx.Done():
			return p.progress()
		}
	}
}

// push is the distribution of one document to the peers.
type push struct {
	syncer  *Syncer
	doc     *table.Document
	changed chan struct{}

	mu sync.Mutex
	// holders is the set of members known to have the document or a later one.
	holders map[string]bool
}

// progress counts the members that are known to have the document, by their replies or by gossip. A member that is
// leaving counts neither as installed nor as a member, as in the rule for freshness.
func (p *push) progress() (installed, members int) {
	peers := p.syncer.config.Peers
	view := peers.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range view.Members {
		if m.ConfigVersion >= p.doc.Version {
			p.holders[m.ID] = true
		}
	}
	for id := range p.holders {
		if m, ok := view.Member(id); ok && !m.Leaving {
			installed++
		}
	}
	_, members = peers.Quorum(slices.Sorted(maps.Keys(p.holders)))
	return installed, members
}

// run sends the document until every known member has it or a later version is in force at this entry.
func (p *push) run(ctx context.Context) {
	for ctx.Err() == nil && p.syncer.Version() <= p.doc.Version {
		outdated := p.outdatedMembers()
		if len(outdated) == 0 {
			return
		}
		var group sync.WaitGroup
		for _, m := range outdated {
			group.Go(func() { p.send(ctx, m.ID) })
		}
		group.Wait()
		if len(p.outdatedMembers()) == 0 || sleep.Context(ctx, pushRetryInterval) != nil {
			return
		}
	}
}

// outdatedMembers returns the peers that are not known to have the document.
func (p *push) outdatedMembers() []membership.Member {
	p.progress()
	view := p.syncer.config.Peers.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	var outdated []membership.Member
	for _, m := range view.Members {
		if m.ID != view.Self && !p.holders[m.ID] {
			outdated = append(outdated, m.Member)
		}
	}
	return outdated
}

func (p *push) send(ctx context.Context, id string) {
	version, err := p.syncer.config.Peers.Install(ctx, id, p.doc)
	if err != nil {
		p.syncer.config.Log.Debug().Str("peer", id).Err(err).Msg("failed to push configuration to peer")
		return
	}
	if version < p.doc.Version {
		return
	}
	p.mu.Lock()
	p.holders[id] = true
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Rollout is the version in force at one member.
type Rollout struct {
	ID      string
	Version int64
	Status  membership.Status
	// Age is the age of the member's last known heartbeat, received directly or through other members.
	Age time.Duration
}

// Rollout lists the versions in force at all known members, by id.
func (s *Syncer) Rollout() []Rollout {
	now := s.config.Now()
	var list []Rollout
	view := s.config.Peers.Members()
	for _, m := range view.Members {
		r := Rollout{ID: m.ID, Version: m.ConfigVersion, Status: m.Status, Age: max(now.Sub(m.HeartbeatAt), 0)}
		if m.ID == view.Self {
			r.Version, r.Age = s.Version(), 0
		}
		list = append(list, r)
	}
	return list
}
