package engine

import "time"

// urgency ranks the steps of a priority while capacity is short; the lowest goes first.
type urgency uint8

const (
	// urgencyBegun: the job has begun and can still meet its objective; what it has done would otherwise be in vain.
	urgencyBegun urgency = iota
	// urgencyAmple: the job has not begun and has enough slack left.
	urgencyAmple
	// urgencyTight: the job has not begun and has so little slack left that an error in its estimate makes it late.
	urgencyTight
	// urgencyLate: the job can't meet its objective.
	urgencyLate
)

// In an overload, the earliest deadline first would start each job when its slack has just run out, and about half of them
// would end late. A short queue, in contrast, is served best in the order of the deadlines alone. So an overload begins where the
// waiting work takes overloadFrom times the jobs' mean slack. From there on, jobs that have begun go first, and a job counts as
// tight below a share of its slack that grows from 0 to maxTightShare where the work takes overloadFull times the slack.
const (
	overloadFrom  = 0.5
	overloadFull  = 1.0
	maxTightShare = 0.5
)

// rankCandidates sets the urgency of the candidates.
func (p *Pool) rankCandidates(list []candidate) {
	share := p.tightShare(list)
	for i := range list {
		cd := &list[i]
		switch {
		case cd.step.spec.LongRunning:
			cd.urgency = urgencyBegun
		case cd.slack < 0:
			cd.urgency = urgencyLate
		case cd.begun && share > 0:
			cd.urgency = urgencyBegun
		case float64(cd.slack) < share*float64(cd.whole):
			cd.urgency = urgencyTight
		default:
			cd.urgency = urgencyAmple
		}
	}
}

// tightShare returns the share of its slack below which a job counts as tight.
func (p *Pool) tightShare(list []candidate) float64 {
	work, slack, jobs := 0.0, 0.0, 0.0
	for i := range list {
		cd := &list[i]
		if cd.slack < 0 || cd.step.spec.LongRunning {
			continue
		}
		work += float64(cd.step.spec.Need.CPU) * float64(len(cd.step.tasks)-cd.step.done) * p.expectedRunTime(cd.step)
		slack += float64(cd.whole)
		jobs++
	}
	capacity := 0.0
	for _, w := range p.workers {
		if w.listed {
			capacity += float64(w.info.Capacity.CPU)
		}
	}
	if capacity == 0 || slack == 0 {
		return 0
	}
	drain := work / capacity * float64(time.Millisecond)
	return maxTightShare * min(max((drain/(slack/jobs)-overloadFrom)/(overloadFull-overloadFrom), 0), 1)
}
