package peer

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/membership"
	"samphirepoint/peer/peerpb"
)

// maxMembers bounds the members that one message may introduce.
const maxMembers = 1024

// memberKey identifies a member and its incarnation by a hash of 4 bytes. Two of 32 members collide with a probability of
// 1e-7; colliding members are always sent in full.
func memberKey(m membership.Member) uint32 {
	return uint32(xxhash.Sum64String(m.ID + "\x00" + strconv.FormatInt(m.Incarnation, 10)))
}

// backerKey identifies a backer by a hash of 4 bytes.
func backerKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// indexByKey indexes reports by member key and omits keys that are not unique.
func indexByKey(reports []membership.Report) map[uint32]membership.Member {
	index := make(map[uint32]membership.Member, len(reports))
	var ambiguous []uint32
	for _, r := range reports {
		k := memberKey(r.Member)
		if _, duplicate := index[k]; duplicate {
			ambiguous = append(ambiguous, k)
		}
		index[k] = r.Member
	}
	for _, k := range ambiguous {
		delete(index, k)
	}
	return index
}

// encode encodes the reports: in short form for members that the receiver knows, else in full. knownVersion returns the
// version up to which the entry itself has a member's demand.
func encode(self membership.Member, reports []membership.Report, receiver map[uint32]int64, knownVersion func(membership.Member) int64) *peerpb.View {
	view := &peerpb.View{
		Sender:        memberKey(self),
		ConfigVersion: self.ConfigVersion,
		FleetVersion:  self.FleetVersion,
	}
	index := indexByKey(reports)
	for _, r := range reports {
		beat := &peerpb.Beat{
			Heartbeat:    r.Heartbeat,
			AgeMs:        int32(min(r.Age.Milliseconds(), 1<<30)),
			Leaving:      r.Leaving,
			ConfigOffset: r.ConfigVersion - self.ConfigVersion,
			FleetOffset:  r.FleetVersion - self.FleetVersion,

			DemandVersion: r.DemandVersion,
			DemandMissing: r.DemandVersion - knownVersion(r.Member),
		}
		key := memberKey(r.Member)
		_, known := receiver[key]
		if _, unique := index[key]; unique && known {
			beat.Key = key
			view.Beats = append(view.Beats, beat)
			continue
		}
		view.Members = append(view.Members, &peerpb.Member{
			Id: r.ID, Address: r.Address, Zone: r.Zone, Region: r.Region, Incarnation: r.Incarnation, Beat: beat,
		})
	}
	return view
}

// decoded is a received view.
type decoded struct {
	reports []membership.Report
	// sender is the member that sent the view; its ID is empty if the receiver does not know the key.
	sender membership.Member
	// digest maps the keys of the members that the sender knows to the demand version that it has of each.
	digest map[uint32]int64
}

// decode decodes a view. Short forms of members that are not in the local reports are skipped: the sender will send
// them in full, because the reply does not mention them.
func decode(view *peerpb.View, local []membership.Report) decoded {
	d := decoded{digest: map[uint32]int64{}}
	add := func(key uint32, m membership.Member, beat *peerpb.Beat) {
		m.Heartbeat = beat.GetHeartbeat()
		m.Leaving = beat.GetLeaving()
		m.ConfigVersion = view.GetConfigVersion() + beat.GetConfigOffset()
		m.FleetVersion = view.GetFleetVersion() + beat.GetFleetOffset()
		m.DemandVersion = beat.GetDemandVersion()
		d.reports = append(d.reports, membership.Report{Member: m, Age: time.Duration(max(beat.GetAgeMs(), 0)) * time.Millisecond})
		if key == view.GetSender() {
			d.sender = m
		}
	}
	for _, m := range view.GetMembers()[:min(len(view.GetMembers()), maxMembers)] {
		member := membership.Member{ID: m.GetId(), Address: m.GetAddress(), Zone: m.GetZone(), Region: m.GetRegion(), Incarnation: m.GetIncarnation()}
		key := memberKey(member)
		d.digest[key] = m.GetBeat().GetDemandVersion() - m.GetBeat().GetDemandMissing()
		add(key, member, m.GetBeat())
	}
	index := indexByKey(local)
	for _, beat := range view.GetBeats() {
		d.digest[beat.GetKey()] = beat.GetDemandVersion() - beat.GetDemandMissing()
		if member, ok := index[beat.GetKey()]; ok {
			add(beat.GetKey(), member, beat)
		}
	}
	return d
}
