package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

const (
	// stopFormerTimeout is how long the daemon that owned a pool before is told of the claim, until it has answered.
	stopFormerTimeout = 10 * time.Second
	// stopFormerInterval is the time between two attempts.
	stopFormerInterval = 300 * time.Millisecond
)

// stopFormer tells the daemon that owned a pool before of the new claim until it has answered. It may not be able to learn of the claim from
// the store.
func (n *Node) stopFormer(ctx context.Context, pool string, former owner.Claim, token int64) {
	if former.Address == "" || former.Node == n.settings.Name {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopFormerTimeout)
		defer cancel()
		for ctx.Err() == nil {
			c, cancel := context.WithTimeout(ctx, stopFormerInterval)
			_, err := n.peers.call(c, former.Address, ownerNotice{From: n.settings.Name, Token: token}.encode(pool))
			cancel()
			if err == nil {
				return
			}
			_ = sleep.Context(ctx, stopFormerInterval)
		}
	}()
}

const (
	// peerStoreAge is the age of its last contact with the store from which a daemon counts as one that the store doesn't answer.
	peerStoreAge = time.Second
	// maxViewAge bounds the time since this daemon last read the members while it asks all of them. One that has joined since isn't asked, but
	// waits until this time has passed before it takes leases for expired: see Node.knownToAll.
	maxViewAge = 10 * time.Second
)

// confirmByPeers reports whether a claim of this daemon that it can't read is current: a daemon that the store answers reads it, or every member
// answers that it serves the pool under no later claim. A daemon that claims the pool after its answer begins to wait for the leases of
// this one after that answer. It fails while some member may serve the pool under a later claim.
func (n *Node) confirmByPeers(ctx context.Context, part string, token, ver int64) (current bool, by string, err error) {
	if n.knowsLaterToken(part, token) {
		return false, "a member had a later claim", nil
	}
	peers := n.askForLaterTerm(ctx, part, token)
	if peers.later != "" {
		return false, peers.later + " serves the pool under a later claim", nil
	}
	for _, m := range peers.served {
		c, cancel := context.WithTimeout(ctx, pingTimeout+storeTimeout/2)
		res, err := n.peers.call(c, m.Address, readClaimRequest{From: n.settings.Name}.encode(part))
		cancel()
		if claim := res.readClaimReply(); err == nil && claim.Known {
			return claim.Version == ver, m.Node + " reads it", nil
		}
	}
	switch age := n.clock().Since(peers.readAt); {
	case len(peers.silent) > 0:
		return false, "", fmt.Errorf("cluster: the claim of %s can't be read, and %d daemons don't say whether they have a later one: %s", part, len(peers.silent), strings.Join(peers.silent, ", "))
	case age > maxViewAge:
		return false, "", fmt.Errorf("cluster: the claim of %s can't be read, and the members were last read %s ago", part, age)
	}
	return true, "no member has a later claim", nil
}

// peerTerms is what the other members say about the terms of a pool.
type peerTerms struct {
	// later is a daemon that serves the pool under a later claim.
	later string
	// readAt is when the list of those who were asked was read.
	readAt engine.Clock
	// served are the daemons that the store answers; silent are the names of those that don't answer themselves.
	served []Member
	silent []string
}

// askForLaterTerm asks all other members, also those that count as dead, whether they serve a pool under a higher token. One that refuses
// connections may be behind a partition that refuses them.
func (n *Node) askForLaterTerm(ctx context.Context, pool string, token int64) peerTerms {
	var out peerTerms
	var mu sync.Mutex
	var g errgroup.Group
	c, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	others, readAt := n.otherMembers()
	out.readAt = readAt
	for _, m := range others {
		g.Go(func() error {
			res, err := n.peers.call(c, m.Address, laterTermRequest{From: n.settings.Name, Token: token}.encode(pool))
			reply := res.laterTermReply()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				out.silent = append(out.silent, m.Node)
			case reply.Later:
				out.later = m.Node
			case reply.StoreAge < peerStoreAge:
				out.served = append(out.served, m)
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// otherMembers returns all members but this daemon, dead or alive, and a time before they were read.
func (n *Node) otherMembers() (others []Member, readAt engine.Clock) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.view.members {
		if o.Node != n.settings.Name {
			others = append(others, o.Member)
		}
	}
	return others, n.membersReadAt
}

// laterTerm answers whether this daemon knows of a later term, also for terms of members that are gone.
func (n *Node) laterTerm(pool string, r laterTermRequest) laterTermReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return laterTermReply{Later: n.highestTokens[pool] > r.Token, StoreAge: n.settings.Now() - n.lastStoreContact}
}

// noteTokens records the tokens that members report. The caller must hold mu.
func (n *Node) noteTokens(members []Member) {
	for _, m := range members {
		for pool, token := range m.Pools {
			n.noteToken(pool, token)
		}
	}
}

// noteToken records that a pool was claimed with a token. The caller must hold mu.
func (n *Node) noteToken(pool string, token int64) {
	n.highestTokens[pool] = max(n.highestTokens[pool], token)
}

func (n *Node) knowsLaterToken(pool string, token int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.highestTokens[pool] > token
}

// knownToAll returns the time from which every daemon that can still confirm a claim by asking the members asks this one too: a daemon that
// has not read the members since this one joined can't by then.
func (n *Node) knownToAll() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.present || n.clock().Since(n.presentAt) > forgottenAfter {
		return n.settings.Now() + maxViewAge
	}
	return n.presentSince + maxViewAge
}

// readClaim reads the claim of a part for another daemon. The claim is not known if the part can't be read.
func (n *Node) readClaim(ctx context.Context, part string) (readClaimReply, error) {
	c, cancel := context.WithTimeout(ctx, storeTimeout/2)
	defer cancel()
	list, _, err := n.settings.Store.Read(c, owner.TableOwners, part)
	switch {
	case err == nil:
		_, ver := owner.PresentClaim(owner.ClaimKey(part), list)
		return readClaimReply{Known: true, Version: ver}, nil
	case n.StoreContactAge() > peerStoreAge:
		return readClaimReply{}, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable) // The store doesn't answer this daemon either.
	}
	return readClaimReply{}, nil
}
