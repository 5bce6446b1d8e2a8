package soak

import (
	"context"
	"syscall"
	"time"

	"samphirepoint/sleep"
	"samphirepoint/standin/jobfleet"
)

// Bounds of the length of a split: some outlast the leases granted before it and the time that a new owner waits for them.
const (
	shortestSplit = 500 * time.Millisecond
	longestSplit  = 16 * time.Second
)

// splitFaults are the faults that divide the network, alone and together with others.
var splitFaults = []fault{
	{"split", (*run).split},
	{"split, then the store away", (*run).splitThenStoreAway},
	{"split, daemon restarted behind it", (*run).splitAndRestart},
}

// partitions are the partitions of the network that are in force.
type partitions struct {
	next   int
	active map[int]jobfleet.Partition
}

// beginSplit puts a partition in force, for a time that callers must allow for. It returns the function that ends it.
func (r *run) beginSplit(p jobfleet.Partition, d time.Duration) (end func()) {
	for _, daemon := range r.daemons {
		daemon.disturb(d + settleTime)
	}
	r.mu.Lock()
	if until := time.Now().Add(d); until.After(r.storeDisturbed) {
		r.storeDisturbed = until
	}
	r.mu.Unlock()
	return r.beginPartition(p)
}

// beginPartition puts a partition in force that callers need not allow for. It returns the function that ends it.
func (r *run) beginPartition(p jobfleet.Partition) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions.active == nil {
		r.partitions.active = map[int]jobfleet.Partition{}
	}
	r.partitions.next++
	id := r.partitions.next
	r.partitions.active[id] = p
	r.applyPartitions()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.partitions.active, id)
		r.applyPartitions()
	}
}

// applyPartitions puts the union of all partitions in force. The caller must hold mu.
func (r *run) applyPartitions() {
	var all []jobfleet.Partition
	for _, p := range r.partitions.active {
		all = append(all, p)
	}
	if len(all) == 0 {
		r.fleet.SetPartition(nil)
		return
	}
	r.fleet.SetPartition(func(from, to jobfleet.Endpoint) bool {
		for _, p := range all {
			if p(from, to) {
				return true
			}
		}
		return false
	})
}

// heal ends all partitions.
func (r *run) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.partitions.active)
	r.applyPartitions()
}

// endpointGroup is what is on one side of a partition as a whole: the daemons or the workers of an availability zone, the store, or the
// instance service.
type endpointGroup struct {
	kind jobfleet.EndpointKind
	zone string
}

// drawSides puts each group of endpoints on one of two sides.
func (r *run) drawSides() map[endpointGroup]bool {
	sides := map[endpointGroup]bool{}
	for _, zone := range jobfleet.Zones {
		sides[endpointGroup{jobfleet.EndpointDaemon, zone}] = r.intN(2) == 0
		sides[endpointGroup{jobfleet.EndpointWorker, zone}] = r.intN(2) == 0
	}
	sides[endpointGroup{jobfleet.EndpointInstances, ""}] = r.intN(2) == 0
	return sides // The store is on the side that stands for false.
}

// drawSplit returns a partition between two sides, in one direction or both.
func (r *run) drawSplit() jobfleet.Partition {
	sides := r.drawSides()
	side := func(e jobfleet.Endpoint) bool { return sides[endpointGroup{e.Kind, e.Zone}] }
	switch r.intN(4) {
	case 0:
		return func(from, to jobfleet.Endpoint) bool { return side(from) && !side(to) }
	case 1:
		return func(from, to jobfleet.Endpoint) bool { return !side(from) && side(to) }
	}
	return func(from, to jobfleet.Endpoint) bool { return side(from) != side(to) }
}

// split divides the network for some seconds.
func (r *run) split(ctx context.Context) {
	d := r.between(shortestSplit, longestSplit)
	end := r.beginSplit(r.drawSplit(), d)
	_ = sleep.Context(ctx, d)
	end()
}

// splitThenStoreAway divides the network, and then cuts all daemons off from the store until after the end of the first partition.
func (r *run) splitThenStoreAway(ctx context.Context) {
	first, second := r.between(shortestSplit, longestSplit/2), r.between(shortestSplit, longestSplit/2)
	end := r.beginSplit(r.drawSplit(), first+second)
	_ = sleep.Context(ctx, first)
	endOutage := r.beginSplit(func(from, to jobfleet.Endpoint) bool {
		return from.Kind == jobfleet.EndpointStore || to.Kind == jobfleet.EndpointStore
	}, second)
	if r.intN(2) == 0 {
		end()
	}
	_ = sleep.Context(ctx, second)
	endOutage()
	_ = sleep.Context(ctx, r.between(0, time.Second))
	end()
}

// splitAndRestart divides the network while a daemon is being started again: the daemons on the other side don't learn of it.
func (r *run) splitAndRestart(ctx context.Context) {
	d := r.between(longestSplit/4, longestSplit)
	end := r.beginSplit(r.drawSplit(), d)
	began := time.Now()
	r.restart(ctx, syscall.SIGKILL)
	_ = sleep.Context(ctx, d-time.Since(began))
	end()
}
