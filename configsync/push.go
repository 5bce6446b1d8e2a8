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
	// pushFor bounds the push in the background; entries that were out of reach for longer poll or hear the version.
	pushFor = time.Minute
	// pushRetry is the wait between two attempts with peers that did not answer.
	pushRetry = 500 * time.Millisecond
)

// PushAccepted installs a document that was committed to the table here and at all peers. It returns the number of
// members that have it or a later one in force, and of those that count, as soon as the former are more than half of
// the latter or when ctx ends. Until everybody has it, the push goes on in the background for up to one minute.
func (s *Syncer) PushAccepted(ctx context.Context, doc *table.Document) (installed, members int) {
	s.Install(doc)
	p := &push{syncer: s, doc: doc, have: map[string]bool{}, changed: make(chan struct{}, 1)}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushFor)
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

// push is one document on its way to the peers.
type push struct {
	syncer  *Syncer
	doc     *table.Document
	changed chan struct{}

	mu   sync.Mutex
	have map[string]bool
}

// progress counts the members that have the document, as far as replies and gossip tell. A member that is leaving counts
// neither as installed nor as a member, as in the rule for freshness.
func (p *push) progress() (installed, members int) {
	peers := p.syncer.config.Peers
	view := peers.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range view.Members {
		if m.ConfigVersion >= p.doc.Version {
			p.have[m.ID] = true
		}
	}
	for id := range p.have {
		if m, ok := view.Member(id); ok && !m.Leaving {
			installed++
		}
	}
	_, members = peers.Quorum(slices.Sorted(maps.Keys(p.have)))
	return installed, members
}

// run repeats until every known member has the document or the entry has a later one to push.
func (p *push) run(ctx context.Context) {
	for ctx.Err() == nil && p.syncer.Version() <= p.doc.Version {
		missing := p.missing()
		if len(missing) == 0 {
			return
		}
		var group sync.WaitGroup
		for _, m := range missing {
			group.Go(func() { p.send(ctx, m.ID) })
		}
		group.Wait()
		if len(p.missing()) == 0 || sleep.Context(ctx, pushRetry) != nil {
			return
		}
	}
}

func (p *push) missing() []membership.Member {
	p.progress()
	view := p.syncer.config.Peers.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	var missing []membership.Member
	for _, m := range view.Members {
		if m.ID != view.Self && !p.have[m.ID] {
			missing = append(missing, m.Member)
		}
	}
	return missing
}

func (p *push) send(ctx context.Context, id string) {
	version, err := p.syncer.config.Peers.Install(ctx, id, p.doc)
	if err != nil {
		p.syncer.config.Log.Debug().Str("peer", id).Err(err).Msg("configuration not pushed to peer")
		return
	}
	if version < p.doc.Version {
		return
	}
	p.mu.Lock()
	p.have[id] = true
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
	// Age is the time since the member was last heard of, directly or through others.
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
