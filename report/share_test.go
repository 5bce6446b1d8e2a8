package report_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/report"
	"samphirepoint/standin/workerd"
)

// Guards against a share that includes times without backlog, which would attribute a backer's lack of demand to the
// system.
func TestShares(t *testing.T) {
	g := NewWithT(t)
	var in checker.Input
	in.Shares = map[string]checker.Share{"a": {Weight: 3}, "b": {Weight: 1}, "c": {Weight: 1}}
	run := func(id, backer string, sent, start, end float64) {
		e := workerd.Event{RunID: id, RequestID: id, Backer: backer, Pool: "p", Kind: workerd.Start, Time: at(start)}
		in.Journal = append(in.Journal, e)
		e.Kind, e.Time = workerd.End, at(end)
		in.Journal = append(in.Journal, e)
		in.Records = append(in.Records, load.Record{RequestID: id, Backer: backer, Queue: "p", Sent: at(sent), Ended: at(end)})
	}
	run("a1", "a", 0, 0, 0.8)
	run("b1", "b", 0, 0, 0.8)
	run("a2", "a", 0, 0.7, 1.2) // waits from 0.1 to 0.7 while a holds 1 of 2 slots, its weighted share is 1.5
	run("b2", "b", 1.5, 1.5, 1.6)
	shares := report.Shares(in)
	g.Expect(shares).To(HaveLen(3))
	g.Expect(shares[0].BackloggedSeconds).To(BeNumerically("~", 0.6, 1e-6))
	g.Expect(shares[0].Slots).To(BeNumerically("~", 1/1.5, 1e-6))
	g.Expect(shares[0].ShortSlots).To(BeNumerically("~", 1/1.5, 1e-6))
	g.Expect(shares[1].BackloggedSeconds).To(BeZero())
	g.Expect(shares[2].Slots).To(BeZero())
}
