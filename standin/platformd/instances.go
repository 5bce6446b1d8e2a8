package platformd

import (
	"sort"
	"time"

	"samphirepoint/services"
)

const (
	// registrationTTL is three missed renewals at an interval of 2 s.
	registrationTTL = 6 * time.Second
	// historyRetention bounds the lag that can be simulated.
	historyRetention = 5 * time.Minute
)

// historyEntry is the state of a registration since a point in time.
type historyEntry struct {
	from     time.Time
	present  bool
	instance services.Instance
}

type registration struct {
	renewed time.Time
	history []historyEntry
}

// instanceList keeps the history of registrations, so that it can be listed with a lag. The caller holds the server's
// mutex.
type instanceList struct {
	registrations map[string]*registration
}

func (l *instanceList) put(now time.Time, in services.Instance) {
	reg := l.registrations[in.ID]
	if reg == nil {
		reg = &registration{}
		l.registrations[in.ID] = reg
	}
	reg.expire(now)
	reg.renewed = now
	if last, ok := reg.last(); !ok || !last.present || last.instance != in {
		reg.add(historyEntry{from: now, present: true, instance: in})
	}
}

func (l *instanceList) remove(now time.Time, id string) {
	reg := l.registrations[id]
	if reg == nil {
		return
	}
	reg.expire(now)
	if last, ok := reg.last(); ok && last.present {
		reg.add(historyEntry{from: now})
	}
}

// view returns the instances that were registered at now-lag.
func (l *instanceList) view(now time.Time, lag time.Duration) []services.Instance {
	at := now.Add(-lag)
	list := []services.Instance{}
	for id, reg := range l.registrations {
		reg.expire(now)
		if last, _ := reg.last(); !last.present && now.Sub(last.from) > historyRetention {
			delete(l.registrations, id)
			continue
		}
		for i := len(reg.history) - 1; i >= 0; i-- {
			if h := reg.history[i]; !h.from.After(at) {
				if h.present {
					list = append(list, h.instance)
				}
				break
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// expire ends a registration that was not renewed and drops history that is older than historyRetention.
func (r *registration) expire(now time.Time) {
	if last, ok := r.last(); ok && last.present && now.Sub(r.renewed) > registrationTTL {
		r.add(historyEntry{from: r.renewed.Add(registrationTTL)})
	}
	for len(r.history) > 1 && now.Sub(r.history[1].from) > historyRetention {
		r.history = r.history[1:]
	}
}

func (r *registration) last() (historyEntry, bool) {
	if len(r.history) == 0 {
		return historyEntry{}, false
	}
	return r.history[len(r.history)-1], true
}

func (r *registration) add(h historyEntry) { r.history = append(r.history, h) }
