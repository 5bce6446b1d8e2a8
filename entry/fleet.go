package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"samphirepoint/admin"
	"samphirepoint/drainer"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/mover"
	"samphirepoint/settings"
)

const (
	// leaseName is the name of the fleet lease, which is stored in the row leases/fleet.
	leaseName = "fleet"
	// demandInterval is the shortest time between two reads of the other entries' demand by the lease holder. With 7
	// entries and about 300 bytes each it costs under 0.5 KB/s.
	demandInterval = 5 * time.Second
)

// buildFleet creates the controller that decides on drains, waves and moves while this entry holds the fleet lease.
func (e *Entry) buildFleet(policy mover.Policy) {
	if policy == nil {
		policy = movePolicy(e.cfg.Moves)
	}
	e.lease = lease.New(e.platform, leaseName, e.processName(), time.Now)
	e.demands = &demandCollector{e: e}
	e.controller = fleet.NewController(fleet.Config{
		Table:     e.platform,
		Instances: e.platform.Instances(),
		Lease:     e.lease,
		View:      e.fleetView,
		Workers:   fleet.NewHTTPWorkers(e.network),
		Members:   e.fleetMembers,
		Document:  e.config.Snapshot,
		Demand:    e.demands.byPool,
		Policy:    policy,
		Log:       e.log,
	})
}

// movePolicy returns the move policy that the settings name.
func movePolicy(m settings.Moves) mover.Policy {
	switch m.Policy {
	case "fixed":
		return mover.Fixed{}
	case "greedy":
		return &mover.Greedy{}
	}
	return mover.NewLearned(mover.WeightedSettings(m.BufferCost, m.MoveCost, m.BlockingCost))
}

// fleetMembers returns all entries with the fleet version that each has in force.
func (e *Entry) fleetMembers() []drainer.Member {
	var list []drainer.Member
	now := time.Now()
	for _, m := range e.gossip.Members().Members {
		member := drainer.Member{ID: m.ID, FleetVersion: m.FleetVersion, LastContact: m.HeartbeatAt}
		if m.ID == e.cfg.ID {
			member.FleetVersion, member.LastContact = e.appliedFleet.Load(), now
		}
		list = append(list, member)
	}
	return list
}

func (e *Entry) fleetRoutes(mux *http.ServeMux) {
	admin.RegisterFleet(mux, admin.FleetOptions{
		Operations: fleet.NewOperations(e.platform, time.Now),
		Fleet:      e.fleetView.Snapshot,
		Document:   e.config.Snapshot,
		Verifier:   e.verifier,
		Log:        e.log,
	})
}

// queueDemand is the response to the lease holder: the demand in slots per queue.
type queueDemand map[string]float64

func (e *Entry) handleDemand(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, queueDemand(e.scheduler.QueueDemand()))
}

// demandCollector collects the demand of all pools from their owners. Only the lease holder uses it.
type demandCollector struct {
	e           *Entry
	mu          sync.Mutex
	collectedAt time.Time
	value       map[string]float64
}

// byPool returns the demand in slots per home pool, at most demandInterval old.
func (d *demandCollector) byPool() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.collectedAt) < demandInterval {
		return d.value
	}
	queues := d.e.scheduler.QueueDemand()
	for _, m := range d.e.gossip.Members().Alive() {
		if m.ID == d.e.cfg.ID {
			continue
		}
		remote, err := d.e.forwarder.Demand(context.Background(), m.ID)
		if err != nil {
			d.e.log.Debug().Err(err).Str("peer", m.ID).Msg("demand of the entry could not be read")
			continue
		}
		for queue, slots := range remote {
			queues[queue] += slots
		}
	}
	d.collectedAt, d.value = time.Now(), d.e.byHomePool(queues)
	return d.value
}

// byHomePool sums the demand per queue by the home pools of the queues.
func (e *Entry) byHomePool(queues map[string]float64) map[string]float64 {
	pools := map[string]float64{}
	doc := e.Document()
	if doc == nil {
		return pools
	}
	for name, slots := range queues {
		if q, ok := doc.Queue(name); ok {
			pools[q.Pools[0]] += slots
		}
	}
	return pools
}

// recordAppliedFleet records the fleet version that the scheduler uses. A drain waits until the
// entries in contact use the version at which it started.
func (e *Entry) recordAppliedFleet(f *instance.Fleet) { e.appliedFleet.Store(f.Version) }
