package checker

import (
	"sort"
	"time"

	"samphirepoint/standin/workerd"
)

// execution is a run or task with its slot's time.
type execution struct {
	start workerd.Event
	end   workerd.Event // zero if the journal ends before
}

// until is the end of the slot's use; work that did not end lasts to the end of the evidence.
func (x *execution) until(last time.Time) time.Time {
	if x.end.Time.IsZero() {
		return last
	}
	return x.end.Time
}

// index orders the journals for the checks.
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

// starts returns the executions under the id that the caller sent or the one that the system gave.
func (x *index) starts(sent, given string) []*execution {
	found := append([]*execution(nil), x.byRequest[sent]...)
	if given != "" && given != sent {
		found = append(found, x.byRequest[given]...)
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
