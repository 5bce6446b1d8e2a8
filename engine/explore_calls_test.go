package engine

import (
	"time"
)

// lateCall is a call without an answer that is carried out later.
type lateCall struct {
	at time.Duration
	do func()
}

func (x *explorer) holds() {
	for _, to := range x.pool.Targets() {
		req, ok := x.pool.NextRenewal(to.ID, x.clock())
		w := x.judge.workers[to.ID]
		switch {
		case !ok:
		case w == nil || w.cut(x.now):
			x.pool.RenewalFailed(to.ID, x.clock())
		default:
			a, obeyed := w.answer(req, x.pool.Token, x.now)
			if !obeyed || x.chance(0.02) {
				x.pool.RenewalFailed(to.ID, x.clock())
				continue
			}
			x.pool.RenewalAnswered(to.ID, a, x.now, x.clock())
		}
	}
}

func (x *explorer) flush() {
	for {
		if x.now >= x.storeUntil {
			x.write()
		}
		orders := x.pool.TakeOrders()
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			x.send(o)
		}
	}
}

func (x *explorer) write() {
	for batch := x.pool.NextBatch(99, 1<<20); len(batch) > 0; batch = x.pool.NextBatch(99, 1<<20) {
		for _, ch := range batch {
			x.store(ch)
		}
		x.pool.Committed(batch, x.clock())
	}
}

func (x *explorer) store(ch Change) {
	id := ch.Job.Spec.ID
	if ch.Record == nil {
		delete(x.records, id)
		return
	}
	if _, known := x.records[id]; known && x.breach == lostRecords && x.chance(0.5) {
		return
	}
	rec := ch.Job.record()
	if x.breach == forgottenFailures {
		for i := range rec.Tasks {
			rec.Tasks[i].Failures = 0
		}
	}
	x.records[id] = stored{spec: ch.Job.Spec, record: rec}
}

// send carries an order out, now or late, with or without an answer.
func (x *explorer) send(o Order) {
	w, pool, token := x.judge.workers[o.Worker.ID], x.pool, x.pool.Token
	if x.breach == unfencedOrders {
		token += 1000
	}
	life := int64(0)
	if w != nil {
		life = w.born
	}
	if t := x.judge.tasks[o.Task.String()]; t != nil {
		t.note(x.now, "order %d for run %d to %s, token %d", o.Kind, o.Run, w, token)
	}
	carryOut := func() (string, bool) {
		if w == nil || x.judge.workers[o.Worker.ID] != w || w.born != life {
			return "", false
		}
		switch o.Kind {
		case OrderStart:
			return w.start(o, x.judge.tasks[o.Task.String()], token, x.now, x.rnd), true
		case OrderThrottle:
			if r := w.runs[runKey(o.Task, o.Run)]; r != nil {
				r.pace = o.Percent
			}
			return "", true
		}
		return "", w.stop(o, token, x.now)
	}
	answered := w != nil && !w.cut(x.now)
	switch {
	case !answered || x.chance(0.04):
		if x.chance(0.5) {
			x.late = append(x.late, lateCall{at: x.now + time.Duration(x.rnd.IntN(6000))*time.Millisecond, do: func() { carryOut() }})
		}
		x.answer(pool, o, StartUnknown, "", false)
	case x.chance(0.04):
		carryOut()
		x.answer(pool, o, StartUnknown, "", false)
	default:
		reason, done := carryOut()
		out := StartAccepted
		if reason != "" || !done {
			out = StartRejected
		}
		x.answer(pool, o, out, reason, done)
	}
}

func (x *explorer) answer(p *Pool, o Order, out StartOutcome, reason string, done bool) {
	switch {
	case p != x.pool || reason == "fence":
	case o.Kind == OrderStart:
		p.StartAnswered(o, out, reason, x.clock())
	case o.Kind == OrderStop:
		p.StopAnswered(o, done, x.clock())
	case o.Kind == OrderThrottle:
		p.ThrottleAnswered(o, done)
	}
}

// advise gives tickets for half of the workers of each kind.
func (x *explorer) advise() {
	const valid = 3 * time.Second
	for _, req := range x.pool.TakeAdviceRequests() {
		job := x.judge.tasks[req.Step+".0"].job
		var good []AdviceRow
		for _, id := range req.Workers {
			if w := x.judge.workers[id]; w != nil && int(w.info.ID[3]-'0')/2%2 == 0 {
				good = append(good, AdviceRow{Worker: id, Ticket: w.String()})
				job.tickets[w.String()] = x.now + valid
			}
		}
		x.pool.AdviceAnswered(req, good, valid, !x.chance(0.2), x.clock())
	}
}
