package dispatch

import (
	"time"

	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/outlier"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/worker"
)

// member is a worker of a pool.
type member struct {
	state  placement.Worker
	client *worker.Client
	// address detects a worker that was replaced under the same id.
	address string
	gone    bool
}

// ticket is a request that waits in Acquire.
type ticket struct {
	wish  Wish
	ready chan result
	since time.Time
	class request.Class
}

type result struct {
	grant *Grant
	err   error
}

// running is a granted slot.
type running struct {
	ticket  *ticket
	member  *member
	started time.Time
	class   request.Class
}

// pool is the state of one owned pool.
type pool struct {
	name      string
	owned     bool
	queue     fairqueue.Policy
	placement placement.Policy
	outliers  *outlier.Detector
	members   map[string]*member
	workers   []*placement.Worker
	waiting   map[string]*ticket
	running   map[string]*running
	demand    demandMeter
}

func newPool(name string, policies Policies, detector *outlier.Detector) *pool {
	return &pool{
		name:      name,
		queue:     policies.Queue(),
		placement: policies.Placement(),
		outliers:  detector,
		members:   map[string]*member{},
		waiting:   map[string]*ticket{},
		running:   map[string]*running{},
	}
}

// setMembers takes over the instance rows of the pool. Only serving instances get new work.
func (p *pool) setMembers(rows []instance.Instance, leaving map[string]bool, now time.Time) {
	seen := map[string]bool{}
	for _, row := range rows {
		seen[row.ID] = true
		m, ok := p.members[row.ID]
		if !ok || m.address != row.Address {
			m = &member{client: worker.NewClient(row.Address), address: row.Address}
			p.members[row.ID] = m
		}
		m.gone = false
		m.state.ID, m.state.Zone, m.state.Slots = row.ID, row.Zone, row.Slots
		m.state.Leaving = row.State != instance.Serving || leaving[row.ID]
	}
	for id, m := range p.members {
		if seen[id] {
			continue
		}
		m.gone, m.state.Leaving = true, true
		if m.state.InUse == 0 {
			m.client.Close()
			delete(p.members, id)
		}
	}
	p.refresh(now)
}

// refresh recomputes the usable slots after a change of members or ejections.
func (p *pool) refresh(now time.Time) {
	p.workers = p.workers[:0]
	total := 0
	for id, m := range p.members {
		if m.gone {
			continue
		}
		m.state.Ejected, m.state.Probe = p.outliers.State(now, id, len(p.members))
		p.workers = append(p.workers, &m.state)
		if !m.state.Leaving && !m.state.Ejected {
			total += m.state.Slots
		}
	}
	p.queue.SetSlots(total, p.demand.reserve(total))
}

func (p *pool) close() {
	for _, m := range p.members {
		m.client.Close()
	}
}

// estimatedWait is the time until a request that arrives now would get a slot, from the number of waiting requests and
// the rate at which slots became free lately.
func (p *pool) estimatedWait() time.Duration {
	rate := p.demand.finishRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(p.queue.Len()) / rate * float64(time.Second))
}
