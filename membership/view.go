// Package membership maintains an entry's view of the other entries: which are alive, which versions each has in force,
// whether a set of them is a majority, and which entry owns which pool. It does no I/O and reads no clock: the caller
// passes the time in. A View is not safe for concurrent use; a Snapshot is immutable.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Member is the state of an entry process that it publishes to the others.
type Member struct {
	ID string
	// Address is the IP:port of the peer API.
	Address string
	Zone    string
	Region  string
	// Incarnation is the start time of the process in Unix milliseconds. A higher one replaces a lower one.
	Incarnation int64
	// Heartbeat is increased by the member itself in each gossip round.
	Heartbeat int64
	// Leaving is set when the process starts its shutdown, and never reset.
	Leaving bool
	// ConfigVersion and FleetVersion are the versions that the member has in force; 0 means none yet.
	ConfigVersion int64
	FleetVersion  int64
	// DemandVersion is the number of the last change of the demand that the member publishes.
	DemandVersion int64
}

// Report is a member's state together with the time since the member produced its heartbeat. Age is relative, so
// clocks of different hosts are never compared.
type Report struct {
	Member
	Age time.Duration
}

// Status is the result of the failure detection for a member.
type Status uint8

// Statuses of members.
const (
	// Alive members produced a heartbeat recently.
	Alive Status = iota
	// Suspect members did not, or failed to answer a forward and a ping. They own no pool.
	Suspect
)

// String returns the form used in operator output.
func (s Status) String() string {
	if s == Alive {
		return "alive"
	}
	return "suspect"
}

// Options configures the failure detection. Zero values mean the defaults.
type Options struct {
	// SuspectAfter is the age of the last heartbeat from which a member is suspect; 3 s by default.
	SuspectAfter time.Duration
	// ForgetAfter is the age of the last heartbeat from which a member is removed; 60 s by default.
	ForgetAfter time.Duration
}

// Defaults of Options (design document, sections 3.3 and 3.9).
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultForgetAfter  = time.Minute
)

// record is a member with the local state of the failure detection.
type record struct {
	Member
	// heartbeatAt is the local time at which the heartbeat was produced, according to the reports. It may be too late by
	// the transit time of a report, but is never too early.
	heartbeatAt time.Time
	// suspectedAt is the time of an explicit suspicion, which lasts until a heartbeat arrives that was produced later.
	suspectedAt time.Time
}

// View is one entry's view of the members, itself included.
type View struct {
	self    string
	options Options
	members map[string]*record
	// expired holds members that were removed without having left. Until the instance list is read for the first time,
	// they count for the majority; otherwise a partitioned minority would become a majority after ForgetAfter.
	expired map[string]bool
}

// New returns a view that contains only self.
func New(self Member, now time.Time, o Options) *View {
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, DefaultForgetAfter)
	return &View{
		self:    self.ID,
		options: o,
		members: map[string]*record{self.ID: {Member: self, heartbeatAt: now}},
		expired: map[string]bool{},
	}
}

// Self returns the entry's own member.
func (v *View) Self() Member { return v.members[v.self].Member }

// Tick produces the entry's own heartbeat.
func (v *View) Tick(now time.Time) {
	r := v.members[v.self]
	r.Heartbeat++
	r.heartbeatAt = now
}

// SetVersions sets the versions that the entry has in force; lower ones are ignored.
func (v *View) SetVersions(config, fleet int64) {
	r := v.members[v.self]
	r.ConfigVersion = max(r.ConfigVersion, config)
	r.FleetVersion = max(r.FleetVersion, fleet)
}

// SetDemandVersion sets the number of the last change of the entry's demand.
func (v *View) SetDemandVersion(version int64) { v.members[v.self].DemandVersion = version }

// SetLeaving marks the entry as leaving.
func (v *View) SetLeaving() { v.members[v.self].Leaving = true }

// Merge merges the reports that another entry sent at time now into the view. The result does not depend on the order of
// reports, nor on duplicates. Reports on the entry itself only matter if they come from a process with the same id that
// started later or, after a restart on a host with a slow clock, seems to have: the entry then
// raises its own incarnation so that others accept it, and Merge returns true. Repeated raises mean that two live
// processes use the same id.
func (v *View) Merge(reports []Report, now time.Time) (raised bool) {
	for _, in := range reports {
		switch {
		case in.ID == "":
		case in.ID != v.self:
			v.mergeOne(in, now)
		case compare(in.Member, v.members[v.self].Member) > 0:
			self := v.members[v.self]
			self.Incarnation = in.Incarnation + 1
			self.heartbeatAt = now
			raised = true
		}
	}
	return raised
}

func (v *View) mergeOne(in Report, now time.Time) {
	produced := now.Add(-max(in.Age, 0))
	r := v.members[in.ID]
	if r == nil {
		if now.Sub(produced) >= v.options.ForgetAfter {
			return
		}
		v.members[in.ID] = &record{Member: in.Member, heartbeatAt: produced}
		delete(v.expired, in.ID)
		return
	}
	switch order := compare(in.Member, r.Member); {
	case order > 0:
		r.heartbeatAt = produced
	case order == 0 && produced.Before(r.heartbeatAt):
		// The same heartbeat over a shorter path gives its age more precisely.
		r.heartbeatAt = produced
	}
	r.Member = join(r.Member, in.Member)
}

// compare orders states of the same member by the time they were produced.
func compare(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// join returns the least upper bound of two states of a member: a process never lowers its versions and never resets
// Leaving, so the maximum is correct in whatever order the states arrive.
func join(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	a.Heartbeat = max(a.Heartbeat, b.Heartbeat)
	a.Leaving = a.Leaving || b.Leaving
	a.ConfigVersion = max(a.ConfigVersion, b.ConfigVersion)
	a.FleetVersion = max(a.FleetVersion, b.FleetVersion)
	a.DemandVersion = max(a.DemandVersion, b.DemandVersion)
	// Constant within an incarnation; the maximum keeps the join commutative if a peer is faulty.
	a.Address = max(a.Address, b.Address)
	a.Zone = max(a.Zone, b.Zone)
	a.Region = max(a.Region, b.Region)
	return a
}

// Suspect marks a member as suspect after a failed forward and a failed ping. The mark ends with the first heartbeat
// that was produced after now, so older heartbeats that are still in transit do not make the member alive again.
func (v *View) Suspect(id string, now time.Time) {
	if r := v.members[id]; r != nil && id != v.self {
		r.suspectedAt = now
	}
}

// Expire removes members whose last heartbeat is at least ForgetAfter old.
func (v *View) Expire(now time.Time) {
	for id, r := range v.members {
		if id == v.self || now.Sub(r.heartbeatAt) < v.options.ForgetAfter {
			continue
		}
		delete(v.members, id)
		if !r.Leaving {
			v.expired[id] = true
		}
	}
}

func (v *View) status(r *record, now time.Time) Status {
	if r.ID == v.self {
		return Alive
	}
	if !r.suspectedAt.IsZero() && !r.heartbeatAt.After(r.suspectedAt) {
		return Suspect
	}
	if now.Sub(r.heartbeatAt) >= v.options.SuspectAfter {
		return Suspect
	}
	return Alive
}

// Alive returns the members that are not suspect, sorted by id, including the entry itself and leaving members.
func (v *View) Alive(now time.Time) []Member {
	var alive []Member
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		if r := v.members[id]; v.status(r, now) == Alive {
			alive = append(alive, r.Member)
		}
	}
	return alive
}

// Reports returns all members of the view, sorted by id, for gossip.
func (v *View) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(v.members))
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		r := v.members[id]
		reports = append(reports, Report{Member: r.Member, Age: max(now.Sub(r.heartbeatAt), 0)})
	}
	return reports
}
