package checker

import (
	"sort"
	"time"

	"samphirepoint/standin/workerd"
)

// execution is one run or task and the time in which it holds its slot.
type execution struct {
	start workerd.Event
	end   workerd.Event // zero if the journal ends before the work does
}

// until returns the end of the slot's use; work without an end holds its slot until last, the end of the evidence.
func (x *execution) until(last time.Time) time.Time {
	if x.end.Time.IsZero() {
		return last
	}
	return x.end.Time
}

// index holds the events of all journals by time, run and request.
type index struct {
	events     []workerd.Event // in order of time
	executions []*execution    // in order of start
	byRun      map[string]*execution
	byRequest  map[string][]*execution
	last       time.Time
}

func newIndex(journal []workerd.Event) *index {
	x := &index{events: append([]workerd.Event(nil), journal...), byRun: map[string]*execution{}, byRequest: map[string][]*execution{}}
	sort.SliceStable(x.events, func(i, j int) bool { return x.events[i].Time.Before(x.events[j].Time) })
	for _, e := range x.events {
		switch e.Kind {
		case workerd.Start:
			ex := &execution{start: e}
			x.executions = append(x.executions, ex)
			x.byRun[e.RunID] = ex
			x.byRequest[e.RequestID] = append(x.byRequest[e.RequestID], ex)
		case workerd.End:
			if ex := x.byRun[e.RunID]; ex != nil {
				ex.end = e
			}
		}
		x.last = e.Time
	}
	return x
}

// starts returns the executions under the id that the caller sent and under the one that the system assigned.
func (x *index) starts(sent, assigned string) []*execution {
	found := append([]*execution(nil), x.byRequest[sent]...)
	if assigned != "" && assigned != sent {
		found = append(found, x.byRequest[assigned]...)
	}
	return found
}

func describeAll(list []*execution) []string {
	var lines []string
	for _, ex := range list {
		lines = append(lines, describeEvent(ex.start))
		if !ex.end.Time.IsZero() {
			lines = append(lines, describeEvent(ex.end))
		}
	}
	return lines
}
